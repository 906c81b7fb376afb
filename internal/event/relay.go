package event

import "log/slog"

// The events of the relay area: placement and forwarding of callers' flows.
const (
	FlowPlaced ID = 8000 + iota
	FlowFailedOver
	FlowRejected
	FlowClosed
	FlowTakenOver
	FlowContested
	PacketDropped
	EndpointSuspected
	EndpointRecovered
	LogLinesSuppressed
	RelayReady
	RelayUnready
	SettingsReloaded
	SettingsRefused
	SendFailed
	ShutdownWaiting
	EndpointFailing
	EndpointNoLongerFailing
	HostLagging
	HostNotLagging
	EndpointPresumedCold
	SpilloverStarted
	SpilloverEnded
	DomainUnreachable
	DomainReachable
	FlowOpenElsewhere
	NoticeIgnored
)

var relayArea = Area{
	Name: "relay",
	Definitions: []Definition{
		{FlowPlaced, slog.LevelInfo, "flow placed", "None."},
		{FlowFailedOver, slog.LevelWarn, "no handshake ACK for a SYN; failed over to another endpoint", "See event 8007 of the endpoint that did not respond."},
		{FlowRejected, slog.LevelWarn, "flow reset", "See the reason: no_route, no_endpoint, overload, dead_endpoint, route_removed, cold or unreachable_domain."},
		{FlowClosed, slog.LevelInfo, "flow ended", "None; answered=false means that the caller got no answer from the endpoint."},
		{FlowTakenOver, slog.LevelInfo, "flow of another host taken over", "None; the routers sent the caller to this host."},
		{FlowContested, slog.LevelInfo, "packet names an endpoint other than the flow's", "None after event 8001 of the same flow; otherwise check what sends them."},
		{PacketDropped, slog.LevelWarn, "packet dropped", "See the reason; many from one caller are forged or stale."},
		{EndpointSuspected, slog.LevelWarn, "no handshake ACK for a SYN sent to the endpoint", "None if it is leaving; otherwise check the endpoint and the network to it."},
		{EndpointRecovered, slog.LevelInfo, "handshakes with the endpoint complete again", "None."},
		{LogLinesSuppressed, slog.LevelWarn, "log lines suppressed", "None; the counters on the metrics address are complete."},
		{RelayReady, slog.LevelInfo, "ready for callers", "None."},
		{RelayUnready, slog.LevelWarn, "not ready for callers", "See the reason: no configuration, no endpoint, a graceful shutdown, or a state that is old since the host can't apply changes (event 9028)."},
		{SettingsReloaded, slog.LevelInfo, "settings reloaded", "None; a change of addresses requires a restart."},
		{SettingsRefused, slog.LevelError, "changed settings rejected", "Correct the file; the previous settings stay in force."},
		{SendFailed, slog.LevelWarn, "datagram not sent", "Check the network interface and the link's load."},
		{ShutdownWaiting, slog.LevelInfo, "graceful shutdown waits for another host of the domain", "None; stop the hosts of a domain one at a time."},
		{EndpointFailing, slog.LevelWarn, "endpoint is failing requests", "Check the endpoint; its answers are missing or far smaller than usual for the route."},
		{EndpointNoLongerFailing, slog.LevelInfo, "endpoint is no longer failing requests", "None."},
		{HostLagging, slog.LevelWarn, "host is lagging: packets wait in its socket for too long", "Check the host's CPU load; routers stop using the host while it does not answer them."},
		{HostNotLagging, slog.LevelInfo, "host is no longer lagging", "None."},
		{EndpointPresumedCold, slog.LevelInfo, "endpoint may have restarted; counts as cold", "None after a restart; otherwise SYNs are lost, see event 8001 of the same endpoint."},
		{SpilloverStarted, slog.LevelInfo, "some new flows leave the failure domain, whose endpoints answer later than others", "None for some seconds; if it lasts, the domain has too few endpoints for its callers."},
		{SpilloverEnded, slog.LevelInfo, "new flows stay in the failure domain again", "None."},
		{DomainUnreachable, slog.LevelWarn, "failure domain unreachable from this host", "Check the domain's power and the network to it; requests that may be repeated are reset, and new flows avoid it."},
		{DomainReachable, slog.LevelInfo, "failure domain no longer considered unreachable", "None."},
		{FlowOpenElsewhere, slog.LevelInfo, "flow is open at another host; its SYN is not sent to further endpoints", "None; routers have moved the flow."},
		{NoticeIgnored, slog.LevelWarn, "malformed or foreign notice between hosts ignored", "Check what sends to the address listen.notices, and that all hosts use one store."},
	},
}

// The events of the follower area: what a host learns from the store and other
// hosts about configuration, endpoints and hosts.
const (
	ConfigurationInForce ID = 9000 + iota
	ConfigurationRefused
	RouteInvalid
	EndpointListed
	EndpointDraining
	EndpointRemoved
	EntryInvalid
	StoreLost
	StoreReachable
	StoreListed
	FeedConnected
	FeedLost
	FeedRefused
	FeedServing
	FollowingStore
	FollowingPeer
	HostAnnounced
	HostAnnounceFailed
	HostListed
	HostUnregistered
	ListingStale
	StoreRestored
	UpdateIgnored
	StateReceived
	UpdateSlow
	FeedBufferUnlimited
	DomainEvacuated
	EvacuationRemoved
	StateOld
	StateCurrent
	SourceInterrupted
)

// The events of the follower area for answers of the store that can't be used.
const (
	StoreItemUnreadable ID = 9032 + iota
	StoreAnswerUnreadable
	StoreWatchUnanswered
)

// Events of the follower area on what its state lacks.
const (
	MissingKeysFound ID = 9035 + iota
)

var followerArea = Area{
	Name: "follower",
	Definitions: []Definition{
		{ConfigurationInForce, slog.LevelInfo, "configuration in force", "None."},
		{ConfigurationRefused, slog.LevelError, "configuration can't be read", "Write a valid configuration; the previous one stays in force."},
		{RouteInvalid, slog.LevelError, "invalid route in the configuration ignored", "Correct the route; the others are in force."},
		{EndpointListed, slog.LevelInfo, "endpoint listed", "None."},
		{EndpointDraining, slog.LevelInfo, "endpoint is draining; no new flows", "None."},
		{EndpointRemoved, slog.LevelInfo, "endpoint's entry removed", "None after event 9004; otherwise the endpoint died or lost its connection to the store."},
		{EntryInvalid, slog.LevelWarn, "entry can't be read", "Find out what wrote the key."},
		{StoreLost, slog.LevelWarn, "store does not answer", "Check the store and the network to it; the host continues with what it knows."},
		{StoreReachable, slog.LevelInfo, "store answers again", "None."},
		{StoreListed, slog.LevelInfo, "store read completely", "None at startup; otherwise its history was no longer available."},
		{FeedConnected, slog.LevelInfo, "receiving the feed of another host", "None."},
		{FeedLost, slog.LevelInfo, "feed from another host ended", "None; the host uses the next one or the store."},
		{FeedRefused, slog.LevelWarn, "feed connection from another host refused", "Check what connects to the feed's address."},
		{FeedServing, slog.LevelInfo, "sending the feed to another host", "None."},
		{FollowingStore, slog.LevelInfo, "following the store", "None."},
		{FollowingPeer, slog.LevelInfo, "following another host's feed in place of the store", "None."},
		{HostAnnounced, slog.LevelInfo, "host registered in the store", "None."},
		{HostAnnounceFailed, slog.LevelInfo, "host not registered in the store yet", "None while the store is unreachable; until then other hosts do not find this one."},
		{HostListed, slog.LevelInfo, "another host registered", "None."},
		{HostUnregistered, slog.LevelInfo, "registration of another host removed", "None if it was stopped; otherwise it died or lost its connection to the store."},
		{ListingStale, slog.LevelWarn, "reading the store took too long and the result could not be brought up to date", "None if the store is slow; the host continues with a watch."},
		{StoreRestored, slog.LevelWarn, "store was restored from an older copy", "Check that operators' changes since the copy are written again; hosts and endpoints do so by themselves. See docs/OPERATIONS.md."},
		{UpdateIgnored, slog.LevelInfo, "update of another incarnation of the store ignored", "None; the source was behind a restore of the store, or ahead of this host."},
		{StateReceived, slog.LevelInfo, "state received from a listing or a peer", "None; the dump has the single endpoints."},
		{UpdateSlow, slog.LevelWarn, "update from another host took long to arrive", "Compare the update's size with the links of both hosts; changes that came with it are late by that time."},
		{FeedBufferUnlimited, slog.LevelWarn, "send buffer of a feed could not be limited", "None on a fast link; on a slow one, changes may come late while a large configuration is sent."},
		{DomainEvacuated, slog.LevelInfo, "failure domain evacuated; its endpoints get no new flows", "None; open flows end by themselves."},
		{EvacuationRemoved, slog.LevelInfo, "evacuation of a failure domain removed", "None; with held_for above 0 it stays in force for that long, since the store may have lost it."},
		{StateOld, slog.LevelWarn, "state of the store is old", "See the reason in docs/OPERATIONS.md; until event 9029 the host forwards by what it knew."},
		{StateCurrent, slog.LevelInfo, "state of the store is current again", "See the reason and old_for; changes of that time were in force late at this host."},
		{SourceInterrupted, slog.LevelWarn, "source of the store's state interrupted to try the next one", "See the source and attempt_for; a call or a feed should have ended by itself before. Report it with the lines before it."},
		{StoreItemUnreadable, slog.LevelWarn, "items of the store can't be read", "Find out what wrote the first key; the other items count. Without a key, the store's answer itself was malformed."},
		{StoreAnswerUnreadable, slog.LevelWarn, "answer of the store can't be read to its end", "Check the store if it repeats; what was read counts, and the host reads the rest by another call."},
		{StoreWatchUnanswered, slog.LevelWarn, "watch gets no answer while the store can be read; all keys are read instead", "Check the store's watches if it repeats; each such reading is a listing of all keys."},
		{MissingKeysFound, slog.LevelWarn, "state that counted as complete lacked keys; a complete state has brought them", "Find out by the lines before it which host or listing brought the state without them."},
	},
}

package event

import "log/slog"

// The events of the relay area: decisions on callers' flows.
const (
	FlowPlaced ID = 8000 + iota
	FlowSentOn
	FlowRejected
	FlowClosed
	FlowAdopted
	FlowContested
	PacketDropped
	EndpointSuspected
	EndpointRecovered
	LinesSuppressed
	RelayReady
	RelayUnready
	SettingsReloaded
	SettingsRefused
	SendFailed
	StopWaits
	EndpointFailing
	EndpointWell
	HostBehind
	HostCaughtUp
)

var relayArea = Area{
	Name: "relay",
	Definitions: []Definition{
		{FlowPlaced, slog.LevelInfo, "flow placed", "None."},
		{FlowSentOn, slog.LevelWarn, "no reaction to a first packet; sent to another endpoint", "See the event 8007 of the endpoint that did not react."},
		{FlowRejected, slog.LevelWarn, "flow reset", "See the reason: no_route, no_endpoint, overload, dead_endpoint or route_removed."},
		{FlowClosed, slog.LevelInfo, "flow ended", "None; answered=false names a caller that got no answer from the endpoint."},
		{FlowAdopted, slog.LevelInfo, "flow of another host taken over", "None; the routers moved the caller."},
		{FlowContested, slog.LevelInfo, "packet names another endpoint than the flow's", "None after event 8001 of the same flow; else see who sends."},
		{PacketDropped, slog.LevelWarn, "packet dropped", "See the reason; many of them from one caller are forged or stale."},
		{EndpointSuspected, slog.LevelWarn, "endpoint did not react to a first packet", "None if it is leaving; else look at the endpoint and the network to it."},
		{EndpointRecovered, slog.LevelInfo, "endpoint reacts again", "None."},
		{LinesSuppressed, slog.LevelWarn, "log lines left out", "None; the counters on the metrics address are complete."},
		{RelayReady, slog.LevelInfo, "ready for callers", "None."},
		{RelayUnready, slog.LevelWarn, "not ready for callers", "See the reason: no configuration, no endpoint, or a planned stop."},
		{SettingsReloaded, slog.LevelInfo, "settings read again", "None; a change of addresses takes a restart."},
		{SettingsRefused, slog.LevelError, "changed settings refused", "Mend the file; the former settings stay in force."},
		{SendFailed, slog.LevelWarn, "datagram not sent", "Look at the network interface and the link's load."},
		{StopWaits, slog.LevelInfo, "planned stop waits for another host of the domain", "None; stop the hosts of a domain one at a time."},
		{EndpointFailing, slog.LevelWarn, "endpoint fails requests", "Look at the endpoint; its answers are missing or far smaller than the route's usual ones."},
		{EndpointWell, slog.LevelInfo, "endpoint fails no more requests", "None."},
		{HostBehind, slog.LevelWarn, "host can't keep up with its packets", "Look at the host's processor; routers leave the host while it does not answer them."},
		{HostCaughtUp, slog.LevelInfo, "host keeps up with its packets again", "None."},
	},
}

// The events of the follower area: what a host believes of the store, the
// endpoints and the other hosts.
const (
	ConfigurationInForce ID = 9000 + iota
	ConfigurationRefused
	ConfigurationMistake
	EndpointListed
	EndpointDraining
	EndpointRemoved
	EntryUnreadable
	StoreLost
	StoreRegained
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
	HostGone
	ListingOld
)

var followerArea = Area{
	Name: "follower",
	Definitions: []Definition{
		{ConfigurationInForce, slog.LevelInfo, "configuration in force", "None."},
		{ConfigurationRefused, slog.LevelError, "configuration can't be read", "Write a valid configuration; the former one stays in force."},
		{ConfigurationMistake, slog.LevelError, "route left out of the configuration", "Mend the route; the others are in force."},
		{EndpointListed, slog.LevelInfo, "endpoint listed", "None."},
		{EndpointDraining, slog.LevelInfo, "endpoint leaves; no new flows", "None."},
		{EndpointRemoved, slog.LevelInfo, "endpoint's entry is gone", "None after event 9004; else the endpoint died or lost the store."},
		{EntryUnreadable, slog.LevelWarn, "entry can't be read", "See who wrote the key."},
		{StoreLost, slog.LevelWarn, "store does not answer", "Check the store and the network to it; the host goes on with what it knows."},
		{StoreRegained, slog.LevelInfo, "store answers again", "None."},
		{StoreListed, slog.LevelInfo, "store read whole", "None at a start; else its history was gone."},
		{FeedConnected, slog.LevelInfo, "fed by another host", "None."},
		{FeedLost, slog.LevelInfo, "feed from another host ended", "None; the host asks the next one or the store."},
		{FeedRefused, slog.LevelWarn, "connection of another host refused", "Check who connects to the feed's address."},
		{FeedServing, slog.LevelInfo, "feeding another host", "None."},
		{FollowingStore, slog.LevelInfo, "following the store", "None."},
		{FollowingPeer, slog.LevelInfo, "left the following of the store to another host", "None."},
		{HostAnnounced, slog.LevelInfo, "host registered in the store", "None."},
		{HostAnnounceFailed, slog.LevelInfo, "host not registered in the store yet", "None while the store is away; other hosts do not find this one meanwhile."},
		{HostListed, slog.LevelInfo, "other host registered", "None."},
		{HostGone, slog.LevelInfo, "registration of another host is gone", "None if it was stopped; else it died or lost the store."},
		{ListingOld, slog.LevelWarn, "store's listing took long and could not be brought up to date", "None if the store is slow; the host goes on with a watch."},
	},
}

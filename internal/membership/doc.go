// Package membership detects which hosts of a group are alive with a SWIM-style
// failure detector and gossip protocol. It is deterministic and does no I/O:
// each call passes the time as a duration since any fixed instant, randomness
// comes from the source given to New, and datagrams go in and out as messages.
// Package membership/udp binds it to a socket.
//
// Every period a host pings one other host, chosen round-robin from a shuffled
// list. If no ack arrives in time, it asks a few other hosts to ping the target
// (indirect probes). If those fail as well, it suspects the target and spreads
// the suspicion by gossip updates piggybacked on its probes. A suspected host
// that learns of the suspicion raises its incarnation, which refutes it. A
// suspicion that is not refuted in time is confirmed as a death. These rules
// keep slow hosts and one-way network failures from causing false deaths:
//
//   - A host does not confirm the death of a host that it heard from, directly
//     or through an indirect ack, since the suspicion began.
//   - A gossiped death of a host that was heard from recently counts as a
//     suspicion only.
//   - A host scales up its timeouts when its own probes fail without any
//     receipt from the hosts that it asked, when they succeed late or only
//     indirectly, or when peers suspect it.
//   - A host that sees its clock jump was paused: it reports the gap, drops
//     its pending probes and confirms no death for a while.
//
// The incarnation and state that a host reports about itself in each message
// take precedence over all gossip of the same incarnation except suspicion,
// death and having left. A host that learns that a peer had confirmed it dead
// rejoins under a higher incarnation in the state that it claims, and reports
// which peer considered it dead: whether it has to give up its share of the
// flows is for the code that uses this package to decide.
//
// Each message carries a digest of the sender's view. Views that differ, for
// instance after a network partition, are reconciled by sending descriptions in
// turn, within a byte budget. Dead hosts, seeds, unknown senders and unknown
// hosts on the platform's list are pinged in random order at a low rate, so that
// the parts of a partitioned group find each other.
//
// # Scalability
//
// A host keeps one entry for each host of its own group: name, description,
// state and a few instants. It sends one ping and, on average, one ack a period
// regardless of the size of the group; only the time to confirm a death and to
// spread an update grows, logarithmically. Hosts of other groups are not kept
// here: updates and list entries that name another group are ignored. At 12,000
// hosts each group of bounded size gossips within itself, and what little must
// be known across groups comes from the platform's list through each domain's
// watchers.
package membership

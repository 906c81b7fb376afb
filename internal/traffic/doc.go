// Package traffic implements the data path: it reads packets, each an IP packet
// encapsulated in a UDP datagram, from the sockets, asks for a verdict on each and
// sends the result.
//
// Each worker owns a socket on every listening address, one reader goroutine
// per socket, and a shard goroutine. Readers decode packets and queue them in
// batches on the shard selected by the flow's fingerprint, so that one goroutine
// decides on all packets of a flow, whichever socket they arrive on. The shard
// asks its Decider and executes the verdict. Queues are bounded: if one is full,
// its packets are dropped and counted, and reading continues.
//
// Sockets of several workers share an address by SO_REUSEPORT; the kernel
// distributes datagrams over them by the outer addresses and ports. Packets are
// sent from the address that their receiver expects: to endpoints from
// Listen.Endpoints, to the fabric from Listen.Callers, to peers from
// Listen.Packets. These addresses must be concrete, because peers check them.
package traffic

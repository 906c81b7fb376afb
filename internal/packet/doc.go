// Package packet decodes an IP packet encapsulated in a UDP datagram (GUE
// variant 1, "Foo over UDP") to a steer.Packet, on which the forwarding decisions
// of package steer (verdicts) depend. It also defines the header that hosts
// prepend to a packet that they pass to a peer.
//
// A packet is decoded completely, or dropped and counted by its Defect:
//
//	input                                   rule
//	empty datagram, or beyond MaxPacket     DefectEmpty, DefectTooLong
//	IP version other than 4 and 6           DefectVersion
//	truncated header                        DefectTruncated
//	IP or UDP length does not match the     DefectLength; no padding, no jumbograms
//	datagram's, or IPv4 header below 20
//	bytes
//	wrong IPv4 header checksum              DefectHeaderChecksum
//	TTL or hop limit of 0 or 1              DefectHopLimit; forwarding decrements it
//	IPv4 options                            DefectOptions; source routes would change the flow
//	IPv6 extension header except fragment   DefectExtension
//	fragment                                DefectFragment
//	ICMP, ICMPv6                            DefectICMP
//	other transport protocols, IP in IP     DefectProtocol
//	unspecified, multicast, broadcast or    DefectAddress; a mapped address would share
//	IPv4-mapped address; source address     the fingerprint (hash) of the IPv4 flow
//	and port equal to the destination's
//	port 0                                  DefectPort
//	invalid TCP data offset                 DefectTCPHeader; options are not checked
//	TCP without flags, SYN with FIN or RST  DefectTCPFlags
//	wrong UDP checksum                      DefectUDPChecksum; only where CoAP is parsed
//	not CoAP though the service declares it DefectCoAP
//
// Fragments are dropped because only the first one has ports: the fabric sends
// the others to different hosts, and buffering them for reassembly would be state
// that a flood can exhaust. ICMP, including "packet too big", is dropped because
// it identifies the flow by a quoted packet, which anybody can forge. So the
// endpoints' TCP segment size must leave room for the encapsulation (28 bytes
// over IPv4, 48 over IPv6), and their datagrams must fit the path MTU.
//
// As with any router, transport checksums are left to the receivers to verify.
// A checksum is verified here only if the message inside is acted upon.
package packet

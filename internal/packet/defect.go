package packet

// Defect is the reason why a datagram was dropped during decoding.
type Defect uint8

// The defects. The package documentation describes the rules on inner packets.
const (
	// DefectNone is a valid packet.
	DefectNone Defect = iota
	// DefectEmpty is an empty datagram.
	DefectEmpty
	// DefectTooLong is a datagram longer than MaxPacket.
	DefectTooLong
	// DefectVersion is neither IPv4 nor IPv6.
	DefectVersion
	// DefectTruncated ends within a header.
	DefectTruncated
	// DefectLength has a length field that does not match the datagram's length,
	// or an IPv4 header length below the minimum.
	DefectLength
	// DefectHeaderChecksum has a wrong IPv4 header checksum.
	DefectHeaderChecksum
	// DefectHopLimit has a TTL or hop limit too low to be forwarded.
	DefectHopLimit
	// DefectOptions carries IPv4 options.
	DefectOptions
	// DefectExtension carries an IPv6 extension header other than fragment.
	DefectExtension
	// DefectFragment is a fragment, including the first one.
	DefectFragment
	// DefectICMP is ICMP or ICMPv6.
	DefectICMP
	// DefectProtocol is neither TCP nor UDP.
	DefectProtocol
	// DefectAddress has an address that is not allowed in a flow.
	DefectAddress
	// DefectPort has port 0.
	DefectPort
	// DefectTCPHeader has an invalid TCP data offset.
	DefectTCPHeader
	// DefectTCPFlags has an invalid combination of TCP flags.
	DefectTCPFlags
	// DefectUDPChecksum has a wrong UDP checksum where the message is parsed.
	DefectUDPChecksum
	// DefectCoAP is not a CoAP message although the service declares CoAP.
	DefectCoAP
	// DefectHopHeader has a truncated or invalid hop header.
	DefectHopHeader
	// DefectPeer arrived on the peers' socket from an unknown address.
	DefectPeer
	defectCount
)

// DefectCount is the number of defects, including DefectNone. Arrays of counters
// have this size.
const DefectCount = int(defectCount)

// defectNames holds the names used in dumps, metrics and logs.
var defectNames = [defectCount]string{
	"none", "empty", "too-long", "version", "truncated", "length", "header-checksum",
	"hop-limit", "options", "extension", "fragment", "icmp", "protocol", "address", "port",
	"tcp-header", "tcp-flags", "udp-checksum", "coap", "hop", "peer",
}

// String returns the name used in dumps, metrics and logs.
func (d Defect) String() string {
	if d >= defectCount {
		return "unknown"
	}
	return defectNames[d]
}

// Defects returns all defects except DefectNone.
func Defects() []Defect {
	out := make([]Defect, 0, defectCount-1)
	for d := DefectNone + 1; d < defectCount; d++ {
		out = append(out, d)
	}
	return out
}

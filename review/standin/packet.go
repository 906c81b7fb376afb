//go:build review

package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flag bits of a packet.
const (
	flagAck = 1
	flagFin = 2
	flagSyn = 32
	flagRst = 64
)

const (
	headBytes      = 32
	recipientBytes = 8
)

// end is one end of a flow.
type end struct {
	ip   uint32
	port uint16
}

func endOf(a netip.Addr, port uint16) end {
	b := a.As4()
	return end{binary.BigEndian.Uint32(b[:]), port}
}

func (e end) addr() netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], e.ip)
	return netip.AddrFrom4(b)
}

// flowKey identifies a flow by the requester's end and the route's address.
type flowKey struct{ requester, route end }

// packet is a decoded packet.
type packet struct {
	flags    byte
	seq, ack uint32
	sum      uint32
	echo     uint32
	src, dst end
	data     []byte
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// encode returns the packet with the sum that it has.
func (p *packet) encode() []byte {
	b := make([]byte, headBytes, headBytes+len(p.data))
	b[0] = p.flags
	binary.LittleEndian.PutUint32(b[2:], p.seq)
	binary.LittleEndian.PutUint32(b[6:], p.ack)
	binary.LittleEndian.PutUint32(b[10:], p.sum)
	binary.LittleEndian.PutUint32(b[14:], p.echo)
	binary.LittleEndian.PutUint16(b[18:], uint16(len(p.data)))
	binary.LittleEndian.PutUint16(b[20:], p.src.port)
	binary.LittleEndian.PutUint32(b[22:], p.src.ip)
	binary.LittleEndian.PutUint32(b[26:], p.dst.ip)
	binary.LittleEndian.PutUint16(b[30:], p.dst.port)
	return append(b, p.data...)
}

func decode(b []byte) (p packet, ok bool) {
	if len(b) < headBytes || len(b) != headBytes+int(binary.LittleEndian.Uint16(b[18:])) {
		return p, false
	}
	return packet{
		flags: b[0],
		seq:   binary.LittleEndian.Uint32(b[2:]),
		ack:   binary.LittleEndian.Uint32(b[6:]),
		sum:   binary.LittleEndian.Uint32(b[10:]),
		echo:  binary.LittleEndian.Uint32(b[14:]),
		src:   end{binary.LittleEndian.Uint32(b[22:]), binary.LittleEndian.Uint16(b[20:])},
		dst:   end{binary.LittleEndian.Uint32(b[26:]), binary.LittleEndian.Uint16(b[30:])},
		data:  b[headBytes:],
	}, true
}

// sumOf returns the keyed sum over all fields but echo, pad and BOUNCED. It is never 0,
// which marks the system's own resets.
func sumOf(key uint64, p packet) uint32 {
	p.sum, p.echo, p.flags = 0, 0, p.flags&^4
	h := fnv.New64a()
	_ = binary.Write(h, binary.LittleEndian, key)
	h.Write(p.encode())
	v := h.Sum64()
	return uint32(v^v>>32) | 1
}

// seal sets the packet's sum and encodes it.
func seal(key uint64, p packet) []byte {
	p.sum = sumOf(key, p)
	return p.encode()
}

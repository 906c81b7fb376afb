package traffic

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// ErrListen is returned if a socket cannot be opened.
var ErrListen = merry.Sentinel("cannot listen for packets")

// socketBuffer is the size in bytes requested for a socket's receive and send
// buffers; the kernel may cap it.
const socketBuffer = 4 << 20

// listenAll opens count sockets on one address. Several sockets share it by
// SO_REUSEPORT. The address is first bound without that option, so that a second
// process with the same settings fails instead of receiving part of the packets.
func listenAll(address netip.AddrPort, count int) ([]*net.UDPConn, error) {
	first, err := listen(address, false)
	if err != nil {
		return nil, err
	}
	if count == 1 {
		return []*net.UDPConn{first}, nil
	}
	address = localAddr(first)
	if err := first.Close(); err != nil {
		return nil, merry.Wrap(ErrListen, merry.WithCause(err))
	}
	conns := make([]*net.UDPConn, 0, count)
	for range count {
		conn, err := listen(address, true)
		if err != nil {
			closeAll(conns)
			return nil, err
		}
		conns = append(conns, conn)
	}
	return conns, nil
}

// listen opens one socket of the address's family.
func listen(address netip.AddrPort, shared bool) (*net.UDPConn, error) {
	network := "udp4"
	if address.Addr().Is6() {
		network = "udp6"
	}
	config := net.ListenConfig{}
	if shared {
		config.Control = sharePort
	}
	conn, err := config.ListenPacket(context.Background(), network, address.String())
	if err != nil {
		return nil, merry.Wrap(ErrListen, merry.WithCause(err))
	}
	udp := conn.(*net.UDPConn)
	// The kernel caps the sizes; a smaller buffer is not an error.
	_ = udp.SetReadBuffer(socketBuffer)
	_ = udp.SetWriteBuffer(socketBuffer)
	return udp, nil
}

// sharePort sets SO_REUSEPORT on a socket.
func sharePort(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return failure
}

// localAddr returns the address that a socket is bound to.
func localAddr(conn *net.UDPConn) netip.AddrPort {
	return unmap(conn.LocalAddr().(*net.UDPAddr).AddrPort())
}

// unmap converts an IPv4-mapped IPv6 address to IPv4.
func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// closeAll closes sockets and ignores errors, which no longer matter.
func closeAll(conns []*net.UDPConn) {
	for _, conn := range conns {
		_ = conn.Close()
	}
}

package traffic

import (
	"encoding/binary"
	"net"
	"net/netip"
	"os"
	"runtime"
	"syscall"
	"unsafe"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// batchReader reads datagrams by recvmmsg. Unlike ReadBatch of package ipv4 it
// does not allocate senders' addresses, which would be two objects per packet.
// It is not safe for concurrent use.
type batchReader struct {
	raw       syscall.RawConn
	headers   [batchSize]messageHeader
	vectors   [batchSize]unix.Iovec
	addresses [batchSize]unix.RawSockaddrInet6
	// receive is the bound method receiveOnce, kept to avoid an allocation per read.
	receive func(fd uintptr) bool
	count   int
	errno   syscall.Errno
}

// messageHeader is struct mmsghdr of recvmmsg(2).
type messageHeader struct {
	header unix.Msghdr
	length uint32
}

// newBatchReader returns a batchReader for the socket.
func newBatchReader(conn *net.UDPConn) (*batchReader, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, merry.Wrap(ErrListen, merry.WithCause(err))
	}
	r := &batchReader{raw: raw}
	r.receive = r.receiveOnce
	for i := range r.headers {
		h := &r.headers[i].header
		h.Name = (*byte)(unsafe.Pointer(&r.addresses[i]))
		h.Iov = &r.vectors[i]
		h.SetIovlen(1)
	}
	return r, nil
}

// setBuffer sets the buffer that slot i receives into; b must not be empty.
func (r *batchReader) setBuffer(i int, b []byte) {
	r.vectors[i].Base = &b[0]
	r.vectors[i].SetLen(len(b))
}

// read waits for datagrams and returns the number of slots filled. It fails if
// the connection's deadline passes, the connection is closed or recvmmsg fails.
func (r *batchReader) read() (int, error) {
	for i := range r.headers {
		r.headers[i].header.Namelen = unix.SizeofSockaddrInet6
	}
	if err := r.raw.Read(r.receive); err != nil {
		return 0, err
	}
	if r.errno != 0 {
		return 0, os.NewSyscallError("recvmmsg", r.errno)
	}
	return r.count, nil
}

// tryRead is like read, but does not wait and ignores the deadline. It returns 0
// if no datagram is available or the read fails.
func (r *batchReader) tryRead() int {
	for i := range r.headers {
		r.headers[i].header.Namelen = unix.SizeofSockaddrInet6
	}
	err := r.raw.Control(func(fd uintptr) { r.receiveOnce(fd) })
	if err != nil || r.errno != 0 {
		return 0
	}
	return r.count
}

// receiveOnce calls recvmmsg without waiting and reports whether it completed
// with datagrams or an error other than EAGAIN.
func (r *batchReader) receiveOnce(fd uintptr) bool {
	for {
		n, _, errno := unix.Syscall6(unix.SYS_RECVMMSG, fd,
			uintptr(unsafe.Pointer(&r.headers[0])), batchSize, unix.MSG_DONTWAIT, 0, 0)
		runtime.KeepAlive(r)
		r.count, r.errno = int(n), errno
		if errno != unix.EINTR {
			return errno != unix.EAGAIN
		}
	}
}

// length returns the size in bytes of the datagram in slot i.
func (r *batchReader) length(i int) int {
	return int(r.headers[i].length)
}

// source returns the sender of the datagram in slot i.
func (r *batchReader) source(i int) netip.AddrPort {
	address := &r.addresses[i]
	switch address.Family {
	case unix.AF_INET:
		address4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(address))
		return netip.AddrPortFrom(netip.AddrFrom4(address4.Addr), fromNetworkOrder(address4.Port))
	case unix.AF_INET6:
		addr := netip.AddrFrom16(address.Addr).Unmap()
		return netip.AddrPortFrom(addr, fromNetworkOrder(address.Port))
	}
	return netip.AddrPort{}
}

// fromNetworkOrder converts a port from network byte order.
func fromNetworkOrder(port uint16) uint16 {
	var b [2]byte
	binary.NativeEndian.PutUint16(b[:], port)
	return binary.BigEndian.Uint16(b[:])
}

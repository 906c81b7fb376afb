package peerlink

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"math/big"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/config"
	"toucangap/internal/peerpb"
)

const loopback = "127.0.0.1:0"

func start(t testing.TB, name, address string, configure func(*Options)) *Manager {
	t.Helper()
	options := Options{
		Self:   config.Host{Name: name, Incarnation: 1, Control: netip.MustParseAddrPort(address)},
		Logger: slog.New(slog.DiscardHandler),
	}
	if configure != nil {
		configure(&options)
	}
	m, err := New(options)
	require.NoError(t, err)
	t.Cleanup(func() { m.Close() })
	return m
}

func peerHost(name string, m *Manager) config.Host {
	return config.Host{Name: name, Control: m.Address(), State: config.HostLive}
}

func recordsAck(sequence uint64) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_RecordsAck{RecordsAck: &peerpb.RecordsAck{Sequence: sequence}}}
}

// sequence returns the sequence number of a message built by recordsAck.
func sequence(n Notification) uint64 {
	return n.(Received).Envelope.GetRecordsAck().GetSequence()
}

func expectHello(t testing.TB, m *Manager, host string) {
	t.Helper()
	got := (<-m.Notifications()).(Received)
	require.Equal(t, host, got.Host)
	require.Equal(t, host, got.Envelope.GetHello().GetHost())
}

func TestFramesArriveInOrder(t *testing.T) {
	const frames = 500
	a, b := start(t, "a", loopback, nil), start(t, "b", loopback, nil)
	require.ErrorIs(t, a.Send("b", recordsAck(1)), ErrNotConnected)
	a.SetPeers([]config.Host{peerHost("a", a), peerHost("b", b)})
	require.Equal(t, Connected{Host: "b"}, <-a.Notifications())
	expectHello(t, b, "a")
	for i := range uint64(frames) {
		require.NoError(t, a.Send("b", recordsAck(i)))
	}
	for i := range uint64(frames) {
		require.Equal(t, i, sequence(<-b.Notifications()))
	}
	sent, received := a.Dump(), b.Dump()
	require.EqualValues(t, frames+1, sent.Peers[0].SentMessages)
	require.Positive(t, sent.WireSentBytes)
	require.Equal(t, []string{"a"}, received.Inbound)
	got, last := received.Kinds[1], sent.Kinds[1]
	require.Equal(t, "records_ack", got.Kind)
	require.EqualValues(t, frames, got.ReceivedMessages)
	require.Equal(t, last.SentBytes, got.ReceivedBytes)
}

// TestRestartDropsQueuedFrames checks that a new link carries no frames from the
// old one and starts with a Hello.
func TestRestartDropsQueuedFrames(t *testing.T) {
	a, b := start(t, "a", loopback, nil), start(t, "b", loopback, nil)
	address := b.Address().String()
	a.SetPeers([]config.Host{peerHost("b", b)})
	require.Equal(t, Connected{Host: "b"}, <-a.Notifications())
	expectHello(t, b, "a")
	require.NoError(t, b.Close())
	require.Equal(t, Disconnected{Host: "b"}, <-a.Notifications())
	require.ErrorIs(t, a.Send("b", recordsAck(1)), ErrNotConnected)
	b = start(t, "b", address, nil)
	require.Equal(t, Connected{Host: "b"}, <-a.Notifications())
	require.NoError(t, a.Send("b", recordsAck(2)))
	expectHello(t, b, "a")
	require.EqualValues(t, 2, sequence(<-b.Notifications()))
}

func TestSetPeers(t *testing.T) {
	a, b, c := start(t, "a", loopback, nil), start(t, "b", loopback, nil), start(t, "b", loopback, nil)
	a.SetPeers([]config.Host{peerHost("b", b)})
	require.Equal(t, Connected{Host: "b"}, <-a.Notifications())
	a.SetPeers([]config.Host{peerHost("b", c)})
	require.Equal(t, Disconnected{Host: "b"}, <-a.Notifications())
	require.Equal(t, Connected{Host: "b"}, <-a.Notifications())
	expectHello(t, c, "a")
	departed := peerHost("b", c)
	departed.State = config.HostDead
	a.SetPeers([]config.Host{departed})
	require.ErrorIs(t, a.Send("b", recordsAck(1)), ErrNotConnected)
	require.Equal(t, Disconnected{Host: "b"}, <-a.Notifications())
	require.Empty(t, a.Dump().Peers)
}

// TestSendNeverBlocks fills the queue for a receiver that reads nothing.
func TestSendNeverBlocks(t *testing.T) {
	a, b := start(t, "a", loopback, nil), start(t, "b", loopback, nil)
	a.SetPeers([]config.Host{peerHost("b", b)})
	require.Equal(t, Connected{Host: "b"}, <-a.Notifications())
	large := &peerpb.Envelope{Body: &peerpb.Envelope_BundleData{BundleData: &peerpb.BundleData{Signed: make([]byte, maxFrame)}}}
	require.ErrorIs(t, a.Send("b", large), ErrTooLarge)
	large.GetBundleData().Signed = make([]byte, maxFrame/2)
	var err error
	for err == nil {
		err = a.Send("b", large)
	}
	require.ErrorIs(t, err, ErrQueueFull)
	require.LessOrEqual(t, a.Dump().Peers[0].QueuedBytes, int64(maxQueuedBytes))
	require.EqualValues(t, 1, a.Dump().Peers[0].DroppedMessages)
}

// TestStalledReceiver floods a receiver that reads nothing until the write
// timeout closes the link, and checks that the next link works.
func TestStalledReceiver(t *testing.T) {
	t.Parallel()
	a, b := start(t, "a", loopback, nil), start(t, "b", loopback, nil)
	a.SetPeers([]config.Host{peerHost("b", b)})
	require.Equal(t, Connected{Host: "b"}, <-a.Notifications())
	flood := &peerpb.Envelope{Body: &peerpb.Envelope_BundleData{BundleData: &peerpb.BundleData{Signed: make([]byte, batchBytes)}}}
	for len(a.Notifications()) == 0 {
		if a.Send("b", flood) != nil {
			time.Sleep(time.Millisecond)
		}
	}
	require.Equal(t, Disconnected{Host: "b"}, <-a.Notifications())
	require.Equal(t, Connected{Host: "b"}, <-a.Notifications())
	require.NoError(t, a.Send("b", recordsAck(9)))
	for hellos := 0; ; {
		n := <-b.Notifications()
		if n.(Received).Envelope.GetHello() != nil {
			hellos++
		}
		if sequence(n) == 9 {
			require.Equal(t, 2, hellos)
			return
		}
	}
}

func TestPlainTextStaysOnLoopback(t *testing.T) {
	_, err := New(Options{Self: config.Host{Name: "a", Control: netip.MustParseAddrPort("0.0.0.0:0")}})
	require.ErrorIs(t, err, ErrPlainText)
	_, err = New(Options{ServerTLS: &tls.Config{}, Self: config.Host{Name: "a", Control: netip.MustParseAddrPort(loopback)}})
	require.ErrorIs(t, err, ErrTLSIncomplete)
}

// TestMalformedFrames checks that garbage and oversized frames end a connection and
// are counted as refusals.
func TestMalformedFrames(t *testing.T) {
	b := start(t, "b", loopback, nil)
	for _, payload := range []string{"GET / HTTP/1.1\r\n\r\n", strings.Repeat("\xff", 64)} {
		conn, err := net.Dial("tcp", b.Address().String())
		require.NoError(t, err)
		_, err = conn.Write([]byte(payload))
		require.NoError(t, err)
		_, err = conn.Read(make([]byte, 1))
		require.Error(t, err)
		conn.Close()
	}
	require.Eventually(t, func() bool { return b.Dump().Refused == 2 }, time.Minute, time.Millisecond)
}

// testCA issues certificates for host names.
type testCA struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	pool        *x509.CertPool
}

func newTestCA(t testing.TB) *testCA {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	return &testCA{key: key, certificate: certificate, pool: pool}
}

// withCertificate returns an option function that sets TLS with a certificate for
// the name.
func (a *testCA) withCertificate(t testing.TB, name string) func(*Options) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(2), DNSNames: []string{name}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	own := []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}
	return func(o *Options) {
		o.ServerTLS = &tls.Config{Certificates: own, ClientCAs: a.pool, ClientAuth: tls.RequireAndVerifyClientCert}
		o.ClientTLS = &tls.Config{Certificates: own, RootCAs: a.pool}
	}
}

func TestMutualTLS(t *testing.T) {
	trusted, untrusted := newTestCA(t), newTestCA(t)
	a := start(t, "a", loopback, trusted.withCertificate(t, "a"))
	b := start(t, "b", loopback, trusted.withCertificate(t, "b"))
	a.SetPeers([]config.Host{peerHost("b", b)})
	require.Equal(t, Connected{Host: "b"}, <-a.Notifications())
	expectHello(t, b, "a")

	impostors := []*Manager{
		start(t, "a", loopback, trusted.withCertificate(t, "c")),
		start(t, "a", loopback, untrusted.withCertificate(t, "a")),
		start(t, "a", loopback, nil),
	}
	for _, m := range impostors {
		m.SetPeers([]config.Host{peerHost("b", b)})
	}
	require.Eventually(t, func() bool { return b.Dump().Refused >= 6 }, time.Minute, time.Millisecond)
	for _, m := range impostors {
		require.Empty(t, m.Connected())
	}
	require.NoError(t, a.Send("b", recordsAck(7)))
	require.EqualValues(t, 7, sequence(<-b.Notifications()))
}

// BenchmarkSmallMessage measures the bytes on the wire, with TLS, of a two-byte
// message sent alone.
func BenchmarkSmallMessage(b *testing.B) {
	trusted := newTestCA(b)
	x, y := start(b, "x", loopback, trusted.withCertificate(b, "x")), start(b, "y", loopback, trusted.withCertificate(b, "y"))
	x.SetPeers([]config.Host{peerHost("y", y)})
	require.Equal(b, Connected{Host: "y"}, <-x.Notifications())
	expectHello(b, y, "x")
	before := x.Dump().WireSentBytes
	b.ReportAllocs()
	for b.Loop() {
		require.NoError(b, x.Send("y", recordsAck(1)))
		<-y.Notifications()
	}
	b.ReportMetric(float64(x.Dump().WireSentBytes-before)/float64(b.N), "wireB/op")
}

// BenchmarkKeepAlive measures the bytes of one ping and its reply and reports the
// resulting bytes per second, for one link and for a host with four peers, which
// dials four links and replies on four.
func BenchmarkKeepAlive(b *testing.B) {
	x, y := start(b, "x", loopback, nil), start(b, "y", loopback, nil)
	x.SetPeers([]config.Host{peerHost("y", y)})
	require.Equal(b, Connected{Host: "y"}, <-x.Notifications())
	session := x.peers["y"].link.Load().session
	before := x.Dump().WireSentBytes + y.Dump().WireSentBytes
	for b.Loop() {
		_, err := session.Ping()
		require.NoError(b, err)
	}
	bytes := x.Dump().WireSentBytes + y.Dump().WireSentBytes - before
	perLink := float64(bytes) / float64(b.N) / keepAliveInterval.Seconds()
	b.ReportMetric(perLink, "idleB/s/link")
	b.ReportMetric(4*perLink, "idleB/s/host-of-5")
}

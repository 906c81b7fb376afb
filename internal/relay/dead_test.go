package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/catalog"
	"toucangap/internal/segment"
)

// pair is a host with two endpoints, one of which leaves SYNs unanswered.
type pair struct {
	*harness
	silent, healthy string
	next            uint16
}

// newPair returns a host with a flow, port 1, that has had an answer at the endpoint that
// is silent from now on.
func newPair(t *testing.T) *pair {
	r := &pair{harness: newHarness(t, 2), healthy: "i-1", next: 1000}
	r.relay.options.Disabled.Holding = true
	r.directory.Configuration().Routes[0].Timeout = 5 * time.Second
	r.publish()
	r.silent = r.place(1)
	if r.silent == r.healthy {
		r.healthy = "i-2"
	}
	r.ack(1, r.silent, 5001, 10)
	r.now += 20 * ms
	r.ack(1, r.silent, 6001, 0)
	// Requests that take long make the healthy endpoint the busier one.
	r.ack(500, r.healthy, 5001, 10)
	r.ack(501, r.healthy, 5001, 10)
	r.drain()
	return r
}

// answerBusy answers the requests that make the healthy endpoint the busier one.
func (r *pair) answerBusy() {
	r.ack(500, r.healthy, 6001, 0)
	r.ack(501, r.healthy, 6001, 0)
	r.drain()
}

// failOver plays new flows until one was sent to the silent endpoint and has failed over
// to the healthy one, which answers all of them.
func (r *pair) failOver() {
	for range 200 {
		r.next++
		r.advance(20 * ms)
		r.syn(r.next, 0)
		first := r.sent[len(r.sent)-1]
		if first == r.silent {
			r.advance(r.relay.handshakeTimeout.current())
		} else {
			r.now += 4 * ms
		}
		r.ack(r.next, r.healthy, 5001, 10)
		r.ack(r.next, r.healthy, 6001, 0)
		if first == r.silent {
			return
		}
	}
	require.Fail(r.t, "the silent endpoint is not tried any more")
}

// ask sends, or sends again, the n-th request of flow 1 and returns what was sent for it.
func (r *pair) ask(n uint32) []string {
	r.drain()
	r.packet(segment.Segment{
		Flow: flowOf(1), Token: catalog.TokenOf(r.silent), Sequence: 1001 + 10*n, Acknowledgement: 6001, Ack: true, DataBytes: 10,
	})
	sent, _ := r.drain()
	return sent
}

func (r *pair) resets() int64 { return r.relay.Stats().Rejections[RejectDeadEndpoint] }

// askThrice sends the n-th request three times, after 200 ms and another 400 ms, while new
// flows fail over in between, and returns what was sent for the third packet.
func (r *pair) askThrice(n uint32) []string {
	r.ask(n)
	sentAt := r.now
	for range deadVerdict - 1 {
		r.failOver()
	}
	r.advanceTo(sentAt + 200*ms)
	require.Equal(r.t, []string{r.silent}, r.ask(n), "an answer may take as long")
	r.advanceTo(sentAt + 600*ms)
	return r.ask(n)
}

func (r *pair) advanceTo(at time.Duration) {
	require.LessOrEqual(r.t, r.now, at)
	r.advance(at - r.now)
}

// deadVerdict is the number of unanswered packets after which an endpoint counts as dead.
const deadVerdict = 4

// TestWaitingFlowsOfDeadEndpointAreReset: callers that wait at an endpoint that has ended
// would otherwise wait until they give up. Flows elsewhere are not reset.
func TestWaitingFlowsOfDeadEndpointAreReset(t *testing.T) {
	r := newPair(t)
	require.Equal(t, []string{"reset"}, r.askThrice(1))
	require.EqualValues(t, 1, r.resets())
	require.False(t, r.relay.flows[flowOf(1)].waiting)
	require.True(t, r.relay.flows[flowOf(500)].waiting)
	require.Equal(t, []string{"reset"}, r.ask(1), "the reset may have been lost")
}

// TestVerdictAfterTheLastCopyResets: a request is sent for the third time before enough
// new flows have found its endpoint silent; its caller may not send a fourth.
func TestVerdictAfterTheLastCopyResets(t *testing.T) {
	r := newPair(t)
	r.ask(1)
	r.failOver()
	r.advance(200 * ms)
	r.ask(1)
	r.advance(400 * ms)
	require.Equal(t, []string{r.silent}, r.ask(1))
	r.failOver()
	require.Zero(t, r.resets())
	r.failOver()
	require.EqualValues(t, 1, r.resets(), "the copy sent after 200 ms is one of the four")
}

// TestPausedFlowOfEndpointThatIsReachableAgain: SYNs were unanswered while an endpoint was
// cut off. Nothing was sent there since, and the flow's caller paused (review/1).
func TestPausedFlowOfEndpointThatIsReachableAgain(t *testing.T) {
	r := newPair(t)
	for range deadVerdict + 1 {
		r.failOver()
	}
	r.advance(5 * time.Second)
	require.Equal(t, []string{r.silent}, r.ask(1))
	r.advance(200 * ms)
	require.Equal(t, []string{r.silent}, r.ask(1), "the first packet may be lost")
	r.advance(400 * ms)
	require.Equal(t, []string{r.silent}, r.ask(1), "and the first copy or what acknowledged it")
	require.Zero(t, r.resets())
}

// TestFlowOfEndpointThatLeavesOnlySYNsUnanswered: a full endpoint ignores SYNs and takes
// its time for the requests of its flows; it acknowledges the copy of one (review/2).
func TestFlowOfEndpointThatLeavesOnlySYNsUnanswered(t *testing.T) {
	r := newPair(t)
	r.ask(1)
	sentAt := r.now
	for range deadVerdict - 1 {
		r.failOver()
	}
	r.advanceTo(sentAt + 200*ms)
	require.Equal(t, []string{r.silent}, r.ask(1))
	for range deadVerdict {
		r.failOver()
	}
	require.Zero(t, r.resets())
	r.ack(1, r.silent, 7001, 0)
	require.Equal(t, []string{r.silent}, r.ask(2))
	require.Zero(t, r.resets())
}

// TestFlowOfAReturnedEndpoint: an endpoint that was considered dead may have come
// back; a flow that another host opened there since is forwarded. It is reset once the
// endpoint has left as much unanswered as any other dead one since then.
func TestFlowOfAReturnedEndpoint(t *testing.T) {
	r := newPair(t)
	for range deadVerdict + 1 {
		r.failOver()
	}
	r.relay.removeFlow(r.relay.flows[flowOf(1)])
	r.advance(time.Second)
	require.Equal(t, []string{r.silent}, r.ask(1))
	require.Equal(t, []string{r.silent}, r.ask(1), "a duplicate")
	r.failOver()
	require.Equal(t, []string{r.silent}, r.ask(1), "the SYN may be lost")
	r.failOver()
	require.Equal(t, []string{r.silent}, r.ask(1))
	r.failOver()
	require.Zero(t, r.resets())
	r.failOver()
	require.EqualValues(t, 1, r.resets(), "four failovers followed")
}

// TestNewFlowsTestTheEndpointOfAnUnansweredRequest: a request is overdue, so that new
// flows avoid its endpoint and show nothing of it; its caller would wait until it gives up.
func TestNewFlowsTestTheEndpointOfAnUnansweredRequest(t *testing.T) {
	r := newPair(t)
	r.answerBusy()
	r.ask(1)
	r.advance(200 * ms)
	r.ask(1)
	r.next++
	require.Equal(t, r.healthy, r.place(r.next), "one copy shows nothing yet")
	r.now += 4 * ms
	r.ack(r.next, r.healthy, 5001, 10)
	r.ack(r.next, r.healthy, 6001, 0)
	r.advance(400 * ms)
	require.Equal(t, []string{r.silent}, r.ask(1))
	began := r.now
	for range deadVerdict - 1 {
		require.Zero(t, r.resets())
		r.failOver()
	}
	require.EqualValues(t, 1, r.resets())
	require.Less(t, r.now, began+200*ms)
	r.drain()
	for range 5 {
		r.next++
		require.NotEqual(t, r.silent, r.place(r.next), "the tests end with the verdict")
		r.now += 4 * ms
		r.ack(r.next, r.healthy, 5001, 10)
		r.ack(r.next, r.healthy, 6001, 0)
		r.drain()
	}
}

// TestOneFlowTestsALivingEndpoint: copies of a request were lost at an endpoint that is
// alive. The first new flow shows that, and no further one is sent there for a test.
func TestOneFlowTestsALivingEndpoint(t *testing.T) {
	r := newPair(t)
	r.answerBusy()
	r.ask(1)
	r.advance(200 * ms)
	r.ask(1)
	r.advance(400 * ms)
	r.ask(1)
	r.next++
	require.Equal(t, r.silent, r.place(r.next))
	r.next++
	require.Equal(t, r.healthy, r.place(r.next), "one test at a time")
	r.ack(r.next, r.healthy, 5001, 10)
	r.ack(r.next-1, r.silent, 5001, 10)
	r.drain()
	for range 5 {
		r.next++
		require.Equal(t, r.healthy, r.place(r.next))
		r.now += 4 * ms
		r.ack(r.next, r.healthy, 5001, 10)
		r.ack(r.next, r.healthy, 6001, 0)
		r.drain()
	}
	require.Zero(t, r.resets())
}

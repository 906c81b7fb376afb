package caller

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"toucangap/standin/exchange"
	"toucangap/standin/inner"
)

// The transmission parameters of RFC 7252, section 4.8.
const (
	ackRandomFactor = 1.5
	maxRetransmit   = 4
)

// answerGrace is how long a caller still waits for an answer after its deadline.
const answerGrace = time.Second

// tokenSize is the length of a request token in bytes.
const tokenSize = 8

// coapFlow sends CoAP requests one at a time.
type coapFlow struct {
	*flow
	messageID uint16
	// completed maps the token of each completed request to its outcome.
	completed map[uint64]Outcome
}

// activeRequest is the request in progress.
type activeRequest struct {
	request exchange.Request
	message exchange.Message
	token   uint64
	started time.Time
	// expires is the deadline plus answerGrace.
	expires time.Time
	// acknowledged requests are not retransmitted.
	acknowledged bool
}

// runCoAP opens one flow after another until the context is canceled.
func (w *worker) runCoAP(ctx context.Context) {
	// thinkTime is the time between two requests of a flow, such that all flows
	// together reach the configured rate.
	thinkTime := time.Duration(float64(w.options.Flows) / w.options.Rate * float64(time.Second))
	if !sleep(ctx, time.Duration(w.random.Float64()*float64(thinkTime))) {
		return
	}
	for generation := 0; ctx.Err() == nil; generation++ {
		f, err := w.open(generation)
		if err != nil {
			return
		}
		w.recorder.recordOpened(w.service.Name)
		c := &coapFlow{flow: f, messageID: uint16(w.random.Uint32()), completed: make(map[uint64]Outcome)}
		c.run(ctx, 1+w.random.IntN(2*w.options.FlowRequests), thinkTime)
		c.close()
	}
}

// run sends the given number of requests, or fewer if the flow breaks.
func (c *coapFlow) run(ctx context.Context, requests int, thinkTime time.Duration) {
	for range requests {
		kind, method := Idempotent, codes.GET
		if c.random.Float64() < c.options.PostShare {
			kind, method = NonIdempotent, codes.POST
		}
		r, ok := c.next(kind)
		if !ok {
			sleep(ctx, c.options.Duration)
			return
		}
		a := c.newRequest(r, method)
		outcome, intact := c.exchange(a)
		c.completed[a.token] = outcome
		c.recorder.end(c.service.Name, r.ID, outcome, time.Since(a.started))
		if !intact || !sleep(ctx, c.jittered(thinkTime)) {
			return
		}
	}
}

func (c *coapFlow) newRequest(r exchange.Request, method codes.Code) *activeRequest {
	c.messageID++
	token := c.random.Uint64()
	return &activeRequest{
		request: r,
		token:   token,
		started: time.Now(),
		expires: time.Now().Add(c.options.Deadline + answerGrace),
		message: exchange.Message{
			Type: message.Confirmable, Code: method, MessageID: c.messageID,
			Token:    binary.BigEndian.AppendUint64(make([]byte, 0, tokenSize), token),
			Deadline: c.options.Deadline, Payload: exchange.Marshal(r),
		},
	}
}

// exchange sends a request and retransmits it with the same message ID until it
// completes, and returns its outcome and whether the flow is intact. A request
// that expires or stays unanswered after the last retransmission breaks the flow.
func (c *coapFlow) exchange(a *activeRequest) (Outcome, bool) {
	payload, err := exchange.EncodeCoAP(a.message)
	if err != nil {
		panic(err) // unreachable: all fields are set by this package
	}
	factor := 1 + c.random.Float64()*(ackRandomFactor-1)
	timeout := time.Duration(factor * float64(c.options.AckTimeout))
	for range maxRetransmit + 1 {
		// A send error counts as a lost packet, which is retransmitted.
		_ = c.port.Send(inner.Packet{Kind: inner.Datagram, Destination: c.service.Address, Payload: payload})
		outcome, intact := c.await(a, min(timeout, time.Until(a.expires)))
		if outcome == 0 && a.acknowledged {
			outcome, intact = c.await(a, time.Until(a.expires))
		}
		if outcome != 0 {
			return outcome, intact
		}
		if !time.Now().Before(a.expires) {
			break
		}
		timeout *= 2
	}
	c.recordBroken(BrokenSilent)
	return Unknown, false
}

// await receives packets until the request completes and returns its outcome and
// whether the flow is intact. The outcome is 0 on timeout.
func (c *coapFlow) await(a *activeRequest, timeout time.Duration) (Outcome, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return 0, true
		case p := <-c.port.Arrivals():
			if outcome, intact := c.receive(a, p); outcome != 0 {
				return outcome, intact
			}
		}
	}
}

// receive handles one packet and returns the request's outcome and whether the
// flow is intact. The outcome is 0 if the packet does not complete the request.
func (c *coapFlow) receive(a *activeRequest, p inner.Packet) (Outcome, bool) {
	if p.Kind == inner.Unreachable && p.Source == c.service.Address {
		c.recordBroken(BrokenReset)
		return Unknown, false
	}
	m, err := exchange.DecodeCoAP(p.Payload)
	if err != nil || p.Source != c.service.Address {
		c.recorder.recordUnmatched()
		return 0, true
	}
	if m.Type == message.Reset && m.MessageID == a.message.MessageID {
		c.recordBroken(BrokenReset)
		return Unknown, false
	}
	if m.Code == codes.Empty && m.Type == message.Acknowledgement {
		// A late acknowledgement may belong to an earlier request.
		a.acknowledged = a.acknowledged || m.MessageID == a.message.MessageID
		return 0, true
	}
	if m.Type == message.Confirmable {
		c.acknowledge(m.MessageID)
	}
	if len(m.Token) != tokenSize {
		c.recorder.recordUnmatched()
		return 0, true
	}
	token := binary.BigEndian.Uint64(m.Token)
	if token != a.token {
		c.checkLate(token, m)
		return 0, true
	}
	return c.classifyResponse(a, m), true
}

// acknowledge acknowledges a confirmable response.
func (c *coapFlow) acknowledge(messageID uint16) {
	payload, err := exchange.EncodeCoAP(exchange.Message{
		Type: message.Acknowledgement, Code: codes.Empty, MessageID: messageID,
	})
	if err != nil {
		panic(err) // unreachable: all fields are set by this package
	}
	// If it is lost, the endpoint retransmits its response.
	_ = c.port.Send(inner.Packet{Kind: inner.Datagram, Destination: c.service.Address, Payload: payload})
}

// classifyResponse returns the outcome that a response gives the request in
// progress.
func (c *coapFlow) classifyResponse(a *activeRequest, m exchange.Message) Outcome {
	switch m.Code {
	case codes.ServiceUnavailable:
		return Refused
	case codes.GatewayTimeout:
		return Unknown
	case codes.Content, codes.Changed:
		return c.checkAnswer(a.request, m.Payload)
	}
	return Wrong
}

// checkLate records a response to a completed request. It contradicts the
// recorded outcome, unless that is unknown, if just one of the two is a refusal.
func (c *coapFlow) checkLate(token uint64, m exchange.Message) {
	outcome, known := c.completed[token]
	if !known {
		c.recorder.recordUnmatched()
		return
	}
	refusal := m.Code == codes.ServiceUnavailable
	c.recorder.recordLate(refusal != (outcome == Refused) && outcome != Unknown)
}

package endpoint

import (
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"toucangap/standin/exchange"
)

const (
	// separateAckDelay is the delay after which an unanswered request is
	// acknowledged separately (RFC 7252, section 5.2.2).
	separateAckDelay = 50 * time.Millisecond
	// responseTimeout is the initial retransmission timeout of a separate response.
	responseTimeout = 500 * time.Millisecond
	// maxResponseRetransmits limits the retransmissions of a separate response.
	maxResponseRetransmits = 4
)

// afterFunc calls step under the endpoint's lock after a delay, unless the
// endpoint has crashed in the meantime.
func (e *Endpoint) afterFunc(delay time.Duration, step func()) {
	generation := e.pool.generation
	time.AfterFunc(delay, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if generation == e.pool.generation {
			step()
		}
	})
}

// acknowledgeLater acknowledges a confirmable request that is still unanswered
// after separateAckDelay.
func (s *coapServer) acknowledgeLater(state *exchangeState) {
	if state.answer != nil || state.message.Type != message.Confirmable {
		return
	}
	s.endpoint.afterFunc(separateAckDelay, func() {
		if state.answer == nil {
			state.acknowledged = true
			s.acknowledge(state)
		}
	})
}

// acknowledge sends an empty ACK message.
func (s *coapServer) acknowledge(state *exchangeState) {
	s.send(state, encode(exchange.Message{
		Type: message.Acknowledgement, Code: codes.Empty, MessageID: state.message.MessageID,
	}))
}

// answer completes an exchange. The response to a confirmable request is
// piggybacked on its acknowledgement, or confirmable and retransmitted if the
// request was acknowledged already. Any other response is non-confirmable.
func (s *coapServer) answer(state *exchangeState, code codes.Code, payload []byte) {
	m := exchange.Message{
		Type: message.Acknowledgement, Code: code, MessageID: state.message.MessageID,
		Token: state.message.Token, Payload: payload,
	}
	if code == codes.ServiceUnavailable {
		m.MaxAge = retryAfter
	}
	switch {
	case state.acknowledged:
		m.Type, m.MessageID = message.Confirmable, s.newID()
	case state.message.Type != message.Confirmable:
		m.Type, m.MessageID = message.NonConfirmable, s.newID()
	}
	state.answer, state.answerID = encode(m), m.MessageID
	s.respond(state)
	if state.acknowledged {
		s.retransmit(state)
	}
}

func (s *coapServer) newID() uint16 {
	s.nextID++
	return s.nextID
}

// retransmit retransmits a separate response until it is acknowledged.
func (s *coapServer) retransmit(state *exchangeState) {
	key := exchangeKey{state.request.Source, state.answerID}
	s.unacknowledged[key] = state
	delay := time.Duration(0)
	for try := range maxResponseRetransmits {
		delay += responseTimeout << try
		s.endpoint.afterFunc(delay, func() {
			if s.unacknowledged[key] == state {
				s.respond(state)
			}
		})
	}
	s.endpoint.afterFunc(exchangeLifetime, func() {
		if s.unacknowledged[key] == state {
			delete(s.unacknowledged, key)
		}
	})
}

func (s *coapServer) respond(state *exchangeState) {
	s.send(state, state.answer)
}

func (s *coapServer) send(state *exchangeState, payload []byte) {
	s.endpoint.send(state.request.Destination, state.request.Source, payload)
}

func encode(m exchange.Message) []byte {
	data, err := exchange.EncodeCoAP(m)
	if err != nil {
		panic(err) // unreachable: all fields are set here or decoded from a message
	}
	return data
}

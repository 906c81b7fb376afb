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

// afterFunc calls step under the lock after a delay, unless the endpoint crashed.
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

// acknowledgeLater acknowledges a slow confirmable request separately.
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

// answer completes an exchange: with a response piggybacked on the
// acknowledgement, or a confirmable one if the request was acknowledged.
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
	s.unconfirmed[key] = state
	delay := time.Duration(0)
	for try := range maxResponseRetransmits {
		delay += responseTimeout << try
		s.endpoint.afterFunc(delay, func() {
			if s.unconfirmed[key] == state {
				s.respond(state)
			}
		})
	}
	s.endpoint.afterFunc(exchangeLifetime, func() {
		if s.unconfirmed[key] == state {
			delete(s.unconfirmed, key)
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

package endpoint

import (
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message/codes"

	"toucangap/standin/exchange"
	"toucangap/standin/inner"
)

const (
	// exchangeLifetime is EXCHANGE_LIFETIME of RFC 7252, section 4.8.2.
	exchangeLifetime = 247 * time.Second
	// maxExchanges limits the responses kept for duplicate requests.
	maxExchanges = 100_000
	// retryAfter is the Max-Age option of a refusal (5.03): the time after which
	// the caller may retry.
	retryAfter = time.Second
	// flowIdle is the idle time after which a flow no longer counts as open. Idle
	// flows are removed when the endpoint's state is dumped; until then they
	// count towards MaxFlows.
	flowIdle = 30 * time.Second
)

// exchangeKey identifies a message exchange for duplicate detection.
type exchangeKey struct {
	caller    netip.AddrPort
	messageID uint16
}

// exchangeState is a request in progress or already answered.
type exchangeState struct {
	request inner.Packet
	message exchange.Message
	expires time.Time
	// acknowledged requests get a separate response (RFC 7252, section 5.2.2).
	acknowledged bool
	// answer is the encoded response; nil while the request is in progress.
	answer []byte
	// answerID is the message ID of the response.
	answerID uint16
}

// coapServer serves CoAP requests. It is guarded by its endpoint's lock.
type coapServer struct {
	endpoint  *Endpoint
	exchanges map[exchangeKey]*exchangeState
	// unacknowledged holds the confirmable responses not yet acknowledged.
	unacknowledged map[exchangeKey]*exchangeState
	nextID         uint16
	// lastSeen maps the caller of each open flow to the time of its last message.
	lastSeen map[netip.AddrPort]time.Time
}

func newCoAPServer(e *Endpoint) *coapServer {
	return &coapServer{
		endpoint:       e,
		exchanges:      make(map[exchangeKey]*exchangeState),
		unacknowledged: make(map[exchangeKey]*exchangeState),
		lastSeen:       make(map[netip.AddrPort]time.Time),
	}
}

// open returns the number of open flows, including idle ones not yet removed.
func (s *coapServer) open() int {
	return len(s.lastSeen)
}

// handle processes a datagram: a request, a duplicate of one, or the
// acknowledgement or reset of a separate response.
func (s *coapServer) handle(p inner.Packet) {
	m, err := exchange.DecodeCoAP(p.Payload)
	key := exchangeKey{p.Source, m.MessageID}
	if err == nil && m.Code == codes.Empty {
		delete(s.unacknowledged, key)
		return
	}
	if err != nil || !m.IsRequest() {
		s.endpoint.runLog.counts.Malformed++
		return
	}
	now := time.Now()
	if state, known := s.exchanges[key]; known && now.Before(state.expires) {
		s.handleDuplicate(state)
		return
	}
	state := &exchangeState{request: p, message: m, expires: now.Add(exchangeLifetime)}
	s.store(key, state, now)
	s.run(state, now)
	s.acknowledgeLater(state)
}

// handleDuplicate resends the response or acknowledgement for a duplicate request,
// if there is one yet.
func (s *coapServer) handleDuplicate(state *exchangeState) {
	s.endpoint.runLog.counts.Duplicates++
	switch {
	case state.answer != nil:
		s.respond(state)
	case state.acknowledged:
		s.acknowledge(state)
	}
}

// store records an exchange for duplicate detection. At maxExchanges it first
// removes the expired ones, so that there are more only if none has expired.
func (s *coapServer) store(key exchangeKey, state *exchangeState, now time.Time) {
	if len(s.exchanges) >= maxExchanges {
		for k, old := range s.exchanges {
			if now.After(old.expires) {
				delete(s.exchanges, k)
			}
		}
	}
	s.exchanges[key] = state
}

// run validates a new request and submits it to the pool.
func (s *coapServer) run(state *exchangeState, now time.Time) {
	e := s.endpoint
	request, err := exchange.Unmarshal[exchange.Request](state.message.Payload)
	if err != nil {
		s.answer(state, codes.BadRequest, nil)
		return
	}
	if request.Service != e.Service || state.request.Destination != e.Advertised {
		e.runLog.recordMisdirected(request.ID)
		s.answer(state, codes.NotFound, nil)
		return
	}
	if !s.admit(state.request.Source, now) {
		e.runLog.counts.Sheds++
		s.answer(state, codes.ServiceUnavailable, nil)
		return
	}
	j := job{id: request.ID, done: func(o outcome) {
		if o != outcomeRun {
			s.answer(state, codes.ServiceUnavailable, nil)
			return
		}
		body := exchange.NewAnswer(request, e.Service, e.Name)
		s.answer(state, successCode(state.message.Code), exchange.Marshal(body))
	}}
	if state.message.Deadline > 0 {
		j.expires = now.Add(state.message.Deadline)
	}
	e.pool.submit(j)
}

// admit reports whether a caller has an open flow or may open one, and records
// the flow with the time of this message.
func (s *coapServer) admit(caller netip.AddrPort, now time.Time) bool {
	_, known := s.lastSeen[caller]
	if !known && (s.endpoint.condition.Draining || len(s.lastSeen) >= s.endpoint.config.MaxFlows) {
		return false
	}
	if !known {
		s.endpoint.runLog.open(caller)
	}
	s.lastSeen[caller] = now
	return true
}

// expire removes the flows without a message for longer than flowIdle.
func (s *coapServer) expire(now time.Time) {
	for caller, last := range s.lastSeen {
		if now.Sub(last) > flowIdle {
			delete(s.lastSeen, caller)
		}
	}
}

func successCode(method codes.Code) codes.Code {
	if method == codes.POST {
		return codes.Changed
	}
	return codes.Content
}

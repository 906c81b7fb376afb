// Package exchange defines the request and answer bodies that callers and
// endpoints exchange, and their encoding as CoAP messages.
package exchange

import (
	"encoding/json"
	"hash/fnv"
	"math/rand/v2"

	"github.com/ansel1/merry/v2"
)

// ErrMalformed is returned by Unmarshal and DecodeCoAP for data that can't be
// decoded.
var ErrMalformed = merry.Sentinel("malformed message")

// Request is the body of a request.
type Request struct {
	// ID is unique within a run.
	ID string `json:"id"`
	// Service is the service that the request is addressed to.
	Service string `json:"service"`
	// Size is the length of the answer's text in bytes, at most maxTextBytes.
	Size int `json:"size"`
}

// Answer is the body of an answer. Service and Endpoint name the endpoint that
// answers.
type Answer struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Endpoint string `json:"endpoint"`
	// Text is derived from the request alone, so that the caller can verify it.
	Text string `json:"text"`
}

// NewAnswer returns the answer of a service's endpoint to a request.
func NewAnswer(r Request, service, endpoint string) Answer {
	return Answer{ID: r.ID, Service: service, Endpoint: endpoint, Text: answerText(r)}
}

// Matches reports whether the answer is complete and belongs to the request.
func (a Answer) Matches(r Request) bool {
	return a.ID == r.ID && a.Service == r.Service && a.Text == answerText(r)
}

// maxTextBytes is the maximum length of an answer's text.
const maxTextBytes = 4096

// answerText derives the text of an answer from its request.
func answerText(r Request) string {
	const alphabet = "abcdefghijklmnopqrstuvwxyz"
	random := Random(0, r.ID)
	b := make([]byte, min(max(r.Size, 0), maxTextBytes))
	for i := range b {
		b[i] = alphabet[random.IntN(len(alphabet))]
	}
	return string(b)
}

// Random returns a random number generator for one named part of a seeded run. It
// is independent of the order in which parts are started.
func Random(seed uint64, part string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(part))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// Marshal encodes a request or an answer.
func Marshal[T Request | Answer](body T) []byte {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // strings and integers always marshal
	}
	return data
}

// Unmarshal decodes a request or an answer.
func Unmarshal[T Request | Answer](data []byte) (T, error) {
	var body T
	if err := json.Unmarshal(data, &body); err != nil {
		return body, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	return body, nil
}

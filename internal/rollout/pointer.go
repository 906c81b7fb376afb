package rollout

import (
	"encoding/json"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/config"
	"toucangap/internal/platform"
)

// historyLength is the number of earlier acceptances that the pointer keeps, so
// that an operator whose response was lost can still find the operation after
// others have followed.
const historyLength = 16

// Acceptance records that an operation put a bundle in force.
type Acceptance struct {
	Ref
	Operation OperationID `json:"operation"`
}

// Pointer names the accepted bundle.
type Pointer struct {
	Acceptance
	// Replaces is the version that was accepted before; 0 means none.
	Replaces config.Version `json:"replaces"`
	// History holds earlier acceptances, the newest first.
	History []Acceptance `json:"history,omitempty"`
}

// advance returns the pointer that follows p after the next acceptance.
func (p Pointer) advance(next Acceptance) Pointer {
	following := Pointer{Acceptance: next, Replaces: p.Version}
	if p.Version == 0 {
		return following
	}
	following.History = append([]Acceptance{p.Acceptance}, p.History...)
	following.History = following.History[:min(len(following.History), historyLength)]
	return following
}

// findOperation returns the acceptance made by the operation, and false if it is
// neither the current one nor in the history.
func (p Pointer) findOperation(operation OperationID) (Acceptance, bool) {
	if p.Operation == operation {
		return p.Acceptance, true
	}
	for _, a := range p.History {
		if a.Operation == operation {
			return a, true
		}
	}
	return Acceptance{}, false
}

// historyCovers reports whether an acceptance of the version, had there been
// one, would still be in the history.
func (p Pointer) historyCovers(version config.Version) bool {
	if len(p.History) < historyLength {
		return true
	}
	return p.History[len(p.History)-1].Version <= version
}

// decodePointer decodes the pointer's value. A nil entry gives the zero
// Pointer.
func decodePointer(entry *platform.Entry) (Pointer, error) {
	var p Pointer
	if entry == nil {
		return p, nil
	}
	if err := json.Unmarshal(entry.Value, &p); err != nil {
		return p, merry.Prepend(err, "decode accepted pointer")
	}
	if p.Version == 0 {
		return p, merry.New("decode accepted pointer: version is missing")
	}
	return p, nil
}

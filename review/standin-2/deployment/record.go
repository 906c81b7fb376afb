//go:build review

package deployment

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file in which a case notes what was sent, answered and run. It is safe for
// concurrent use.
type Record struct {
	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
	now  func() time.Duration
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), now: func() time.Duration { return 0 }}, nil
}

// Line writes a line with the time since the deployment's start.
func (r *Record) Line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", r.now().Seconds(), fmt.Sprintf(format, values...))
}

// Close writes what is left and closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

package logbuf

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// blocked is an output that is never read.
type blocked struct{ never chan struct{} }

func (b blocked) Write([]byte) (int, error) {
	<-b.never
	return 0, nil
}

// recorder is an output that can be read concurrently.
type recorder struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (r *recorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.b.Write(p)
}

func (r *recorder) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.b.String()
}

// TestNeverBlocks checks that lines are dropped and counted while the output
// blocks.
func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blocked{make(chan struct{})}
		w := New(out)
		line := []byte(strings.Repeat("x", 99) + "\n")
		for range 5000 {
			n, err := w.Write(line)
			require.NoError(t, err)
			require.Equal(t, len(line), n)
		}
		require.GreaterOrEqual(t, w.Lost(), int64(5000-2*bufferBytes/len(line)))
		begun := time.Now()
		w.Close(time.Second)
		require.LessOrEqual(t, time.Since(begun), time.Second)
		close(out.never)
		time.Sleep(time.Second)
	})
}

func TestLinesArriveInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out recorder
		w := New(&out)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, _ = w.Write([]byte(line))
			time.Sleep(flushInterval)
		}
		w.Close(time.Second)
		_, _ = w.Write([]byte("late\n"))
		require.Equal(t, "a\nb\nc\n", out.String())
		require.Equal(t, int64(1), w.Lost())
	})
}

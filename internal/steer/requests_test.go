package steer

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func testRequest(token byte, deadline Time) *request {
	r := &request{key: requestKey{fp: testFlow(1)}, deadline: deadline}
	r.key.token.Bytes[0] = token
	return r
}

// TestRequestsExpireInOrder finishes some requests at random and checks that
// the others expire exactly at their deadlines, the earliest first.
func TestRequestsExpireInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deadlines := rapid.SliceOfN(rapid.Int64Range(1, 50), 1, 40).Draw(t, "deadlines")
		table := newRequestTable()
		var want, got []Time
		var answered []*request
		for i, d := range deadlines {
			r := testRequest(byte(i), Time(d))
			table.add(r)
			if rapid.Bool().Draw(t, "answered") {
				answered = append(answered, r)
			} else {
				want = append(want, r.deadline)
			}
		}
		for _, r := range answered {
			table.finish(0, r, requestAnswered)
		}
		for now := Time(0); now <= 50; now++ {
			for r := table.expired(now); r != nil; r = table.expired(now) {
				require.Equal(t, now, r.deadline)
				got = append(got, r.deadline)
				table.finish(now, r, requestUnknown)
			}
		}
		slices.Sort(want)
		require.Equal(t, want, got)
		table.forget(RetransmitWindow + 50)
		require.Empty(t, table.byKey)
	})
}

// TestRequestsForget checks that an outcome is kept for RetransmitWindow from
// its end, and that a later request with the same token is not removed.
func TestRequestsForget(t *testing.T) {
	table := newRequestTable()
	kept, reused, refused := testRequest(1, time.Second), testRequest(2, time.Second), testRequest(3, 0)
	table.add(kept)
	table.add(reused)
	table.finish(time.Second, kept, requestAnswered)
	table.finish(time.Second, reused, requestUnknown)
	table.addFinished(2*time.Second, refused, requestNotRun)
	again := testRequest(2, 2*time.Minute)
	table.add(again)
	cases := []struct {
		at                    Time
		kept, reused, refused *request
	}{
		{time.Second + RetransmitWindow - 1, kept, again, refused},
		{time.Second + RetransmitWindow, nil, again, refused},
		{2*time.Second + RetransmitWindow - 1, nil, again, refused},
		{2*time.Second + RetransmitWindow, nil, again, nil},
	}
	for _, c := range cases {
		table.forget(c.at)
		require.Same(t, c.kept, table.get(kept.key), "%v", c.at)
		require.Same(t, c.reused, table.get(reused.key), "%v", c.at)
		require.Same(t, c.refused, table.get(refused.key), "%v", c.at)
	}
	require.Same(t, again, table.expired(again.deadline))
}

package steer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucangap/internal/config"
	"toucangap/internal/flow"
)

// newTestShard returns a shard that holds n flows of one endpoint.
func newTestShard(n int) (*Shard, []*entry) {
	s := NewShard(NewShared(), 1, 1_000_000)
	endpoint := newTestTable(config.BalanceSteady, 1).Endpoints[0]
	var entries []*entry
	for i := range n {
		s.flows.insert(testFlow(i)).endpoint = endpoint
	}
	for i := range n {
		entries = append(entries, s.flows.get(testFlow(i)))
	}
	return s, entries
}

// takeFingerprints returns the flows of the records sent next to host 1.
func takeFingerprints(s *Shard, limit int) []flow.Fingerprint {
	var out []flow.Fingerprint
	for _, r := range s.TakeRecords(1, limit, nil) {
		out = append(out, r.Fingerprint)
	}
	return out
}

// TestRecordsOrder checks that urgent records are taken first, then changes,
// then withdrawals, each in the order in which they were queued.
func TestRecordsOrder(t *testing.T) {
	s, e := newTestShard(6)
	s.queueWithdrawal(1, e[0])
	s.queueRecord(1, e[1])
	s.queueRecord(1, e[2])
	s.queueRecord(1, e[3])
	s.queueUrgentRecord(1, e[3])
	s.queueUrgentRecord(1, e[3])
	s.queueRecord(2, e[4])
	require.True(t, s.Urgent(1))
	require.Equal(t, 4, s.Waiting(1))
	require.Equal(t, []flow.Fingerprint{e[3].fp, e[1].fp}, takeFingerprints(s, 2))
	require.False(t, s.Urgent(1))
	require.Equal(t, []flow.Fingerprint{e[2].fp, e[3].fp, e[0].fp}, takeFingerprints(s, 10))
	require.Empty(t, takeFingerprints(s, 10))
	require.EqualValues(t, 1, s.shared.RecordsWaiting.Load())
	s.Forget(2)
	require.Zero(t, s.Waiting(2))
	require.Zero(t, s.shared.RecordsWaiting.Load())
}

// TestRecordsRead checks that a record holds the flow's endpoint at the time of
// sending, not at the time of queueing.
func TestRecordsRead(t *testing.T) {
	s, e := newTestShard(2)
	s.queueRecord(1, e[0])
	s.queueWithdrawal(1, e[1])
	s.flows.remove(testFlow(0))
	records := s.TakeRecords(1, 10, nil)
	require.Equal(t, []Record{{testFlow(0), 1, 0}, {testFlow(1), 1, 1}}, records,
		"an ended flow must be withdrawn, one that still exists must not")
}

// TestWithdrawalsBounded checks that beyond maxWithdrawals only withdrawals are
// dropped, never changes.
func TestWithdrawalsBounded(t *testing.T) {
	s, e := newTestShard(1)
	for range maxWithdrawals + 10 {
		s.queueWithdrawal(1, e[0])
		s.queueRecord(1, e[0])
	}
	require.Equal(t, maxWithdrawals+10, s.Waiting(1))
	require.Len(t, s.TakeRecords(1, 1_000_000, nil), 2*maxWithdrawals+10)
}

// TestConfirm checks that only the host to which the record was last queued can
// confirm it.
func TestConfirm(t *testing.T) {
	s, e := newTestShard(1)
	s.queueRecord(1, e[0])
	e[0].replica = 1
	s.Confirm(2, []flow.Fingerprint{e[0].fp, testFlow(99)})
	require.False(t, e[0].has(flagConfirmed))
	s.queueUrgentRecord(1, e[0])
	s.Confirm(1, []flow.Fingerprint{e[0].fp})
	require.True(t, e[0].has(flagConfirmed))
	require.False(t, e[0].has(flagRecordUrgent))
	s.queueRecord(1, e[0])
	require.False(t, e[0].has(flagConfirmed))
}

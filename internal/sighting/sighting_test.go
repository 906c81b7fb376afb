package sighting

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOthersSumsWithoutTheAsker(t *testing.T) {
	b := NewBoard()
	b.Put(0, "a", []Sighting{{1, 4, 2}, {2, 1, 1}})
	b.Put(0, "b", []Sighting{{1, 6, 3}})
	require.Equal(t, []Sighting{{1, 10, 5}, {2, 1, 1}}, b.Others(0, "c"))
	require.Equal(t, []Sighting{{1, 6, 3}}, b.Others(0, "a"))
	b.Put(0, "b", nil)
	require.Empty(t, b.Others(0, "a"))
}

// TestTreeCountsNothingTwice passes sightings along a chain of hosts and back.
func TestTreeCountsNothingTwice(t *testing.T) {
	names := []string{"a", "b", "c"}
	boards := map[string]*Board{}
	for _, n := range names {
		boards[n] = NewBoard()
		boards[n].Put(0, n, []Sighting{{1, 1, 1}})
	}
	tell := func(from, to string) { boards[to].Put(0, from, boards[from].Others(0, to)) }
	for range 5 {
		tell("a", "b")
		tell("b", "c")
		tell("c", "b")
		tell("b", "a")
	}
	for _, n := range names {
		require.Equal(t, []Sighting{{1, 2, 2}}, boards[n].Others(0, n), n)
	}
}

func TestOldListsDoNotCount(t *testing.T) {
	b := NewBoard()
	b.Put(0, "a", []Sighting{{1, 1, 1}})
	require.NotEmpty(t, b.Others(fresh, "b"))
	require.Empty(t, b.Others(fresh+time.Nanosecond, "b"))
}

func TestAddedTellsOfNewEndpointsOnly(t *testing.T) {
	b := NewBoard()
	told := func(list ...Sighting) bool {
		added := b.Added()
		b.Put(0, "a", list)
		select {
		case <-added:
			return true
		default:
			return false
		}
	}
	require.True(t, told(Sighting{1, 1, 1}))
	require.False(t, told(Sighting{1, 5, 2}))
	require.True(t, told(Sighting{1, 5, 2}, Sighting{2, 1, 1}))
	require.False(t, told(Sighting{2, 1, 1}))
	require.False(t, told())
}

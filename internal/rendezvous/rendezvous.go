// Package rendezvous scores candidates for a key, so that all hosts with the same
// candidates choose the same one, and a candidate that leaves moves only its own keys.
package rendezvous

// Increment is the odd constant by which SplitMix64 separates consecutive inputs.
const Increment = 0x9e3779b97f4a7c15

// Score returns the score of a candidate for a key.
func Score(key, candidate uint64) uint64 {
	return Mix(key ^ candidate*Increment)
}

// Mix is the finalizer of SplitMix64, a bijection with full avalanche.
func Mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

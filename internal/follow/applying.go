package follow

// Applying returns the key of the change that is being applied, empty if there is none. It
// may be called from any goroutine.
func (r *Replica) Applying() string {
	if key := r.applying.Load(); key != nil {
		return *key
	}
	return ""
}

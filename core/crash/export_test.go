package crash

// Knows reports whether a crash under a trait is known.
func (r *Register) Knows(t Trait, id EventID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[t]
	return e != nil && e.crashes.find(id) != nil
}

// Rounds returns the crashes one after the other under a trait.
func (r *Register) Rounds(t Trait) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[t]; e != nil {
		return e.rounds()
	}
	return 0
}

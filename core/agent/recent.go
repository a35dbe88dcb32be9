package agent

// recentSet is a set of limited size. If it is full, a new member replaces the
// oldest one.
type recentSet[K comparable] struct {
	members map[K]struct{}
	order   []K
	next    int
}

func newRecentSet[K comparable](size int) *recentSet[K] {
	return &recentSet[K]{members: map[K]struct{}{}, order: make([]K, 0, size)}
}

// add inserts k. It returns false if k is a member already.
func (r *recentSet[K]) add(k K) bool {
	if _, ok := r.members[k]; ok {
		return false
	}
	r.members[k] = struct{}{}
	if len(r.order) < cap(r.order) {
		r.order = append(r.order, k)
		return true
	}
	delete(r.members, r.order[r.next])
	r.order[r.next] = k
	r.next = (r.next + 1) % len(r.order)
	return true
}

func (r *recentSet[K]) has(k K) bool {
	_, ok := r.members[k]
	return ok
}

// remove deletes k. Its slot in order is reused only when its turn comes.
func (r *recentSet[K]) remove(k K) { delete(r.members, k) }

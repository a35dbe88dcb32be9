package agent

// recent is a set that forgets its oldest members above a size.
type recent[K comparable] struct {
	members map[K]struct{}
	order   []K
	next    int
}

func newRecent[K comparable](size int) *recent[K] {
	return &recent[K]{members: map[K]struct{}{}, order: make([]K, 0, size)}
}

// add inserts k, and reports false if it was a member.
func (r *recent[K]) add(k K) bool {
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

func (r *recent[K]) has(k K) bool {
	_, ok := r.members[k]
	return ok
}

// remove takes k out; its place in the order is kept until it is overwritten.
func (r *recent[K]) remove(k K) { delete(r.members, k) }

package router

// maxSeenIDs is the number of forward ids kept to detect duplicates.
const maxSeenIDs = 4096

// seenIDs keeps the most recent ids of forwards.
type seenIDs struct {
	known map[string]bool
	order []string
	next  int
}

// add adds an id and reports whether it is new. The oldest id is evicted if there are
// maxSeenIDs already.
func (s *seenIDs) add(id string) bool {
	if s.known == nil {
		s.known = map[string]bool{}
	}
	if s.known[id] {
		return false
	}
	s.known[id] = true
	if len(s.order) < maxSeenIDs {
		s.order = append(s.order, id)
		return true
	}
	delete(s.known, s.order[s.next])
	s.order[s.next] = id
	s.next = (s.next + 1) % maxSeenIDs
	return true
}

package standin

// firstPage returns the first of the sorted items of a list that one answer has; the caller holds the mutex.
func (s *PlatformStore) firstPage(items []platformItem) []platformItem {
	if limit := s.PageItems; limit > 0 && len(items) > limit {
		return items[:limit]
	}
	return items
}

// compact discards the history that isn't kept; the caller holds the mutex.
func (s *PlatformStore) compact() {
	excess := len(s.history) - s.KeepHistory
	if s.KeepHistory <= 0 || excess <= 0 {
		return
	}
	s.compacted = s.history[excess-1].Revision
	s.history = append([]platformItem(nil), s.history[excess:]...)
}

// discarded reports whether changes after a revision were discarded.
func (s *PlatformStore) discarded(after int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return after < s.compacted
}

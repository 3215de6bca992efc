package seater

import "slices"

// pairSize is the number of members that need a third party to tell a dead
// member from one that is cut off.
const pairSize = 2

// appointed reports whether this process is to be the witness of a failure
// domain with two entry VMs: it is the first live VM of the next failure domain.
// The caller holds mu.
func (s *Seater) appointed(domain string) bool {
	i := slices.Index(s.FailureDomains, domain)
	next := s.FailureDomains[(i+1)%len(s.FailureDomains)]
	roster := s.cohorts[domain].known
	if next != s.FailureDomain || domain == s.FailureDomain {
		return false
	}
	if roster.homes() != pairSize || len(roster.Members) != pairSize {
		return false
	}
	for _, e := range s.cohorts[next].known.Members {
		p, found := s.peers[e.identity()]
		live := found && p.alive && !p.draining
		if e.FailureDomain == next && e.VM < s.VM && live {
			return false
		}
	}
	return s.cohorts[next].recorded()
}

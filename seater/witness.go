package seater

import "slices"

// pairSize is the number of members that need a third one, the witness, to distinguish
// a dead member from one that is cut off.
const pairSize = 2

// shouldWitness reports whether this process should be the witness of a failure domain
// with two entry VMs: it is the first live VM of the next failure domain. The caller
// holds mu.
func (s *Seater) shouldWitness(domain string) bool {
	i := slices.Index(s.FailureDomains, domain)
	next := s.FailureDomains[(i+1)%len(s.FailureDomains)]
	roster := s.states[domain].roster
	if next != s.FailureDomain || domain == s.FailureDomain {
		return false
	}
	if roster.localMembers() != pairSize || len(roster.Members) != pairSize {
		return false
	}
	for _, e := range s.states[next].roster.Members {
		remote, found := s.peers[e.identity()]
		live := found && remote.alive && !remote.draining
		if e.FailureDomain == next && e.VM < s.VM && live {
			return false
		}
	}
	return s.states[next].recorded()
}

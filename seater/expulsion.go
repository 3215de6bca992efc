package seater

import (
	"time"

	"zinniashore.example/keeper"
)

// expulsion is the attempt to remove a member whose session has ended.
type expulsion struct {
	target MemberRecord
	// withdrawn is when each other member withdrew its promises.
	withdrawn map[identity]time.Time
}

// withdrawalRequest asks a member to withdraw its promises to a target.
type withdrawalRequest struct {
	roster         string
	target, member MemberRecord
	version        int64
}

// isSuspected reports whether a member may have to be expelled: its session has ended
// according to the mirror, it is unresponsive, and its guard allows it.
func (rs *rosterState) isSuspected(m MemberRecord, alive map[string]keeper.LeaseID, now time.Time) bool {
	if m.VM == rs.self.VM || m.Guard != GuardPromise {
		return false
	}
	contactDue := rs.membersSince.Add(missesUntilUnresponsive * rs.config.heartbeat)
	unresponsive := !rs.heardRecently(m.identity(), now) && now.After(contactDue)
	return unresponsive && alive[m.Process] != m.Session
}

// updateExpulsions starts, continues and abandons expulsions, and returns the
// withdrawal requests that are still open.
func (rs *rosterState) updateExpulsions(alive map[string]keeper.LeaseID, now time.Time) []withdrawalRequest {
	expulsions := map[identity]*expulsion{}
	var requests []withdrawalRequest
	for _, m := range rs.roster.Members {
		if !rs.recorded() || rs.leaving || !rs.isSuspected(m, alive, now) {
			continue
		}
		if !rs.withdraw(m, rs.roster.Version, now) {
			continue
		}
		attempt := rs.expulsions[m.identity()]
		if attempt == nil || attempt.target != m {
			attempt = &expulsion{target: m, withdrawn: map[identity]time.Time{rs.self.identity(): now}}
		}
		expulsions[m.identity()] = attempt
		requests = append(requests, rs.openRequests(attempt)...)
	}
	rs.expulsions = expulsions
	return requests
}

func (rs *rosterState) openRequests(attempt *expulsion) []withdrawalRequest {
	var requests []withdrawalRequest
	for _, m := range rs.roster.Members {
		_, done := attempt.withdrawn[m.identity()]
		if m.VM != attempt.target.VM && !done {
			requests = append(requests, withdrawalRequest{roster: rs.roster.FailureDomain, target: attempt.target, member: m, version: rs.roster.Version})
		}
	}
	return requests
}

// recordWithdrawal records that a member has withdrawn its promises as requested.
func (rs *rosterState) recordWithdrawal(request withdrawalRequest, now time.Time) {
	attempt := rs.expulsions[request.target.identity()]
	if attempt == nil || attempt.target != request.target {
		return
	}
	if _, done := attempt.withdrawn[request.member.identity()]; !done {
		attempt.withdrawn[request.member.identity()] = now
	}
}

// expellable returns the members that may be expelled now if their session has ended:
// every other member has withdrawn its promises, and every earlier promise has
// expired.
func (rs *rosterState) expellable(now time.Time) []MemberRecord {
	var targets []MemberRecord
	for _, m := range rs.roster.Members {
		attempt, found := rs.expulsions[m.identity()]
		if !found {
			continue
		}
		last, complete := rs.lastWithdrawal(attempt)
		end := last.Add(rs.config.promiseLength + rs.config.driftMargin)
		if complete && now.After(end) {
			targets = append(targets, attempt.target)
		}
	}
	return targets
}

// lastWithdrawal returns the latest time at which a promise to the target can have been
// given, and whether every other member has withdrawn its promises.
func (rs *rosterState) lastWithdrawal(attempt *expulsion) (time.Time, bool) {
	last := rs.membersSince
	for _, m := range rs.roster.Members {
		if m.VM == attempt.target.VM {
			continue
		}
		at, done := attempt.withdrawn[m.identity()]
		if !done {
			return time.Time{}, false
		}
		if at.After(last) {
			last = at
		}
	}
	return last, true
}

// expel returns r without one expellable member whose session has ended, as long as r
// has the same members from which the withdrawals were collected.
func (rs *rosterState) expel(r Roster, observed observations) Roster {
	if r.Generation != rs.roster.Generation {
		return r
	}
	for _, target := range rs.expellable(observed.now) {
		m, found := r.Member(target.VM)
		session, ended := observed.ended[target.Process]
		if found && m == target && ended && session == target.Session {
			return r.WithoutMember(target.VM, false)
		}
	}
	return r
}

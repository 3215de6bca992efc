package seater

import (
	"time"

	"zinniashore.example/keeper"
)

// expulsion is the attempt to remove a member whose session has lapsed.
type expulsion struct {
	target Entrant
	// withdrawn is when each other member withdrew its promises.
	withdrawn map[identity]time.Time
}

// demand is a request to a member to withdraw its promises to a target.
type demand struct {
	roster         string
	target, member Entrant
	version        int64
}

// suspects reports whether a member may be expelled: its session has lapsed, it
// is silent, and its guard allows it.
func (c *cohort) suspects(m Entrant, alive map[string]keeper.LeaseID, now time.Time) bool {
	if m.VM == c.self.VM || m.Guard != GuardPromise {
		return false
	}
	silentSince := c.membersSince.Add(missesBeforeSilent * c.limits.heartbeat)
	silent := !c.hears(m.identity(), now) && now.After(silentSince)
	return silent && alive[m.Process] != m.Session
}

// pursue starts, goes on with and gives up expulsions, and returns the demands
// that are still to be met.
func (c *cohort) pursue(alive map[string]keeper.LeaseID, now time.Time) []demand {
	pursued := map[identity]*expulsion{}
	var demands []demand
	for _, m := range c.known.Members {
		if !c.recorded() || c.leaving || !c.suspects(m, alive, now) {
			continue
		}
		if !c.withdraw(m, c.known.Version, now) {
			continue
		}
		e := c.expulsions[m.identity()]
		if e == nil || e.target != m {
			e = &expulsion{target: m, withdrawn: map[identity]time.Time{c.self.identity(): now}}
		}
		pursued[m.identity()] = e
		demands = append(demands, c.demands(e)...)
	}
	c.expulsions = pursued
	return demands
}

func (c *cohort) demands(e *expulsion) []demand {
	var demands []demand
	for _, m := range c.known.Members {
		_, done := e.withdrawn[m.identity()]
		if m.VM != e.target.VM && !done {
			demands = append(demands, demand{roster: c.known.FailureDomain, target: e.target, member: m, version: c.known.Version})
		}
	}
	return demands
}

// noteWithdrawal takes in that a member has met a demand.
func (c *cohort) noteWithdrawal(d demand, now time.Time) {
	e := c.expulsions[d.target.identity()]
	if e == nil || e.target != d.target {
		return
	}
	if _, done := e.withdrawn[d.member.identity()]; !done {
		e.withdrawn[d.member.identity()] = now
	}
}

// ripe returns the members that may be expelled now if their session has ended:
// every other member has withdrawn, and every promise given before has run out.
func (c *cohort) ripe(now time.Time) []Entrant {
	var targets []Entrant
	for _, m := range c.known.Members {
		e, pursued := c.expulsions[m.identity()]
		if !pursued {
			continue
		}
		last, complete := c.lastWithdrawal(e)
		end := last.Add(c.limits.promiseLength + c.limits.driftMargin)
		if complete && now.After(end) {
			targets = append(targets, e.target)
		}
	}
	return targets
}

// lastWithdrawal returns when the last promise to the target can have been
// given, and whether every other member has withdrawn.
func (c *cohort) lastWithdrawal(e *expulsion) (time.Time, bool) {
	last := c.membersSince
	for _, m := range c.known.Members {
		if m.VM == e.target.VM {
			continue
		}
		at, done := e.withdrawn[m.identity()]
		if !done {
			return time.Time{}, false
		}
		if at.After(last) {
			last = at
		}
	}
	return last, true
}

// expel returns r without the ripe members whose session has ended, as long as
// r has the members that the withdrawals were collected from.
func (c *cohort) expel(r Roster, v view) Roster {
	if r.Generation != c.known.Generation {
		return r
	}
	for _, target := range c.ripe(v.now) {
		m, found := r.Member(target.VM)
		session, ended := v.lapsed[target.Process]
		if found && m == target && ended && session == target.Session {
			return r.WithoutMember(target.VM, false)
		}
	}
	return r
}

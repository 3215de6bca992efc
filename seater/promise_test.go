package seater

import (
	"testing"
	"time"

	"zinniashore.example/keeper"
)

// trio is a roster of three members, each holding one seat, as one of them
// knows it at time zero.
func trio(self string, guard Guard) *cohort {
	r := NewRoster("d", simSeats)
	l := limits{heartbeat: simBeat, promiseLength: simPromise, longestRequest: simLongest, driftMargin: simMargin, pairGuard: GuardPromise}
	for i, vm := range []string{"holder", "other", "successor"} {
		r = r.WithMember(Entrant{VM: vm, Incarnation: "1", Process: vm, FailureDomain: "d", Session: keeper.LeaseID(i + 1), Guard: guard})
		r = r.WithGrant(i, vm, time.Time{})
	}
	r.Version = 5
	me, _ := r.Member(self)
	c := newCohort(me, NewRoster("d", simSeats), l)
	c.install(r, at(0))
	return c
}

func at(d time.Duration) time.Time { return time.Unix(1_800_000_000, 0).Add(d) }

func (c *cohort) member(vm string) Entrant {
	m, _ := c.known.Member(vm)
	return m
}

// collected returns a successor that has the withdrawal of the other member at
// time zero plus asked.
func collected(asked time.Duration) *cohort {
	c := trio("successor", GuardPromise)
	for _, d := range c.pursue(map[string]keeper.LeaseID{"other": 2, "successor": 3}, at(asked)) {
		c.noteWithdrawal(d, at(asked))
	}
	return c
}

const (
	asked = time.Minute
	ready = asked + simPromise + simMargin
)

func TestExpulsionNeedsEverything(t *testing.T) {
	ended := map[string]keeper.LeaseID{"holder": 1}
	tests := map[string]struct {
		at     time.Duration
		lapsed map[string]keeper.LeaseID
		change func(Roster) Roster
		want   bool
	}{
		"everything":             {at: ready + 1, lapsed: ended, want: true},
		"a promise may last":     {at: ready, lapsed: ended},
		"session not read":       {at: ready + 1},
		"another session ended":  {at: ready + 1, lapsed: map[string]keeper.LeaseID{"holder": 7}},
		"a member came and went": {at: ready + 1, lapsed: ended, change: func(r Roster) Roster { return r.WithMember(Entrant{VM: "new"}).WithoutMember("new", true) }},
		"session renewed": {at: ready + 1, lapsed: ended, change: func(r Roster) Roster {
			m, _ := r.Member("holder")
			m.Session = 9
			return r.WithMember(m)
		}},
		"guard changed": {at: ready + 1, lapsed: ended, change: func(r Roster) Roster {
			m, _ := r.Member("holder")
			m.Guard = GuardRelease
			return r.WithMember(m)
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := collected(asked)
			r := c.known
			if tc.change != nil {
				r = tc.change(r)
			}
			after := c.expel(r, view{now: at(tc.at), lapsed: tc.lapsed})
			_, stays := after.Member("holder")
			if stays == tc.want {
				t.Errorf("expelled %v, want %v", !stays, tc.want)
			}
			if !stays && (after.Seats[0].Holder != "" || after.Seats[0].Clean) {
				t.Errorf("seat of the expelled is %+v", after.Seats[0])
			}
		})
	}
}

func TestPromises(t *testing.T) {
	holder := identity{vm: "holder", incarnation: "1"}
	tests := map[string]struct {
		self string
		do   func(c *cohort) bool
		want bool
	}{
		"counts from its sending": {self: "holder", want: true, do: func(c *cohort) bool {
			c.countPromise(c.member("other").identity(), at(0))
			return c.promised(at(simPromise - 1))
		}},
		"ends": {self: "holder", do: func(c *cohort) bool {
			c.countPromise(c.member("other").identity(), at(0))
			return c.promised(at(simPromise))
		}},
		"of an unknown process": {self: "holder", do: func(c *cohort) bool {
			c.countPromise(identity{vm: "other", incarnation: "2"}, at(0))
			return c.promised(at(0))
		}},
		"of a member withdrawn from": {self: "other", do: func(c *cohort) bool {
			c.countPromise(holder, at(0))
			c.withdraw(c.member("holder"), 5, at(0))
			c.countPromise(holder, at(0))
			return c.promised(at(1))
		}},
		"to a member withdrawn from": {self: "other", do: func(c *cohort) bool {
			c.withdraw(c.member("holder"), 5, at(0))
			return c.promise(holder, at(1))
		}},
		"to one withdrawn from in a roster not known yet": {self: "other", do: func(c *cohort) bool {
			target := c.member("holder")
			target.Session = 9
			c.withdraw(target, 7, at(0))
			later := c.known.WithMember(c.member("other"))
			later.Version = 6
			c.install(later, at(1))
			return c.promise(holder, at(1))
		}},
		"again under a new session": {self: "other", want: true, do: func(c *cohort) bool {
			target := c.member("holder")
			c.withdraw(target, 5, at(0))
			target.Session = 9
			later := c.known.WithMember(target)
			later.Version = 6
			c.install(later, at(1))
			return c.promise(holder, at(1))
		}},
		"withdrawn from a member that is heard": {self: "other", do: func(c *cohort) bool {
			c.promise(holder, at(0))
			return c.withdraw(c.member("holder"), 5, at(simBeat))
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := tc.do(trio(tc.self, GuardPromise)); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestGuardEndsBeforeItsWrite holds that a process relies on GuardRelease no more
// from the moment that it may have written its end.
func TestGuardEndsBeforeItsWrite(t *testing.T) {
	c := trio("holder", GuardRelease)
	if c.authorised(at(0), lease{}) {
		t.Error("relies on a guard that it did not see written")
	}
	c.strict = false
	if !c.authorised(at(0), lease{}) {
		t.Error("stops though the guard is recorded")
	}
	if _, err := c.propose(c.known, lease{id: 1, valid: true}, view{now: at(0)}); err != nil {
		t.Fatal(err)
	}
	if c.authorised(at(0), lease{}) {
		t.Error("relies on a guard whose end it proposed")
	}
	if !c.authorised(at(0), lease{id: 1, valid: true}) {
		t.Error("stops under a valid session")
	}
}

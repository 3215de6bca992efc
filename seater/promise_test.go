package seater

import (
	"testing"
	"time"

	"zinniashore.example/keeper"
)

// threeMembers returns the state of one of three members that hold one seat each, as
// that member knows the roster at time zero.
func threeMembers(self string, guard Guard) *rosterState {
	r := NewRoster("d", simSeats)
	config := rosterConfig{heartbeat: simBeat, promiseLength: simPromise, maxRequestDuration: simMaxRequest, driftMargin: simMargin, pairGuard: GuardPromise}
	for i, vm := range []string{"holder", "other", "successor"} {
		r = r.WithMember(MemberRecord{VM: vm, Incarnation: "1", Process: vm, FailureDomain: "d", Session: keeper.LeaseID(i + 1), Guard: guard})
		r = r.WithGrant(i, vm, time.Time{})
	}
	r.Version = 5
	me, _ := r.Member(self)
	state := newRosterState(me, NewRoster("d", simSeats), config)
	state.install(r, at(0))
	return state
}

func at(d time.Duration) time.Time { return time.Unix(1_800_000_000, 0).Add(d) }

func (rs *rosterState) member(vm string) MemberRecord {
	m, _ := rs.roster.Member(vm)
	return m
}

// successorWithWithdrawals returns the state of the successor to which the other
// member confirmed its withdrawal at the requested time after time zero.
func successorWithWithdrawals(requested time.Duration) *rosterState {
	state := threeMembers("successor", GuardPromise)
	for _, d := range state.updateExpulsions(map[string]keeper.LeaseID{"other": 2, "successor": 3}, at(requested)) {
		state.recordWithdrawal(d, at(requested))
	}
	return state
}

const (
	requestedAt  = time.Minute
	expellableAt = requestedAt + simPromise + simMargin
)

func TestExpulsionNeedsEverything(t *testing.T) {
	ended := map[string]keeper.LeaseID{"holder": 1}
	tests := map[string]struct {
		at     time.Duration
		ended  map[string]keeper.LeaseID
		change func(Roster) Roster
		want   bool
	}{
		"everything":             {at: expellableAt + 1, ended: ended, want: true},
		"a promise may last":     {at: expellableAt, ended: ended},
		"session not read":       {at: expellableAt + 1},
		"another session ended":  {at: expellableAt + 1, ended: map[string]keeper.LeaseID{"holder": 7}},
		"a member came and went": {at: expellableAt + 1, ended: ended, change: func(r Roster) Roster { return r.WithMember(MemberRecord{VM: "new"}).WithoutMember("new", true) }},
		"session renewed": {at: expellableAt + 1, ended: ended, change: func(r Roster) Roster {
			m, _ := r.Member("holder")
			m.Session = 9
			return r.WithMember(m)
		}},
		"guard changed": {at: expellableAt + 1, ended: ended, change: func(r Roster) Roster {
			m, _ := r.Member("holder")
			m.Guard = GuardRelease
			return r.WithMember(m)
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			state := successorWithWithdrawals(requestedAt)
			r := state.roster
			if tc.change != nil {
				r = tc.change(r)
			}
			after := state.expel(r, observations{now: at(tc.at), ended: tc.ended})
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
		do   func(state *rosterState) bool
		want bool
	}{
		"counts from its sending": {self: "holder", want: true, do: func(state *rosterState) bool {
			state.recordPromise(state.member("other").identity(), at(0))
			return state.hasPromise(at(simPromise - 1))
		}},
		"ends": {self: "holder", do: func(state *rosterState) bool {
			state.recordPromise(state.member("other").identity(), at(0))
			return state.hasPromise(at(simPromise))
		}},
		"of an unknown process": {self: "holder", do: func(state *rosterState) bool {
			state.recordPromise(identity{vm: "other", incarnation: "2"}, at(0))
			return state.hasPromise(at(0))
		}},
		"of a member withdrawn from": {self: "other", do: func(state *rosterState) bool {
			state.recordPromise(holder, at(0))
			state.withdraw(state.member("holder"), 5, at(0))
			state.recordPromise(holder, at(0))
			return state.hasPromise(at(1))
		}},
		"to a member withdrawn from": {self: "other", do: func(state *rosterState) bool {
			state.withdraw(state.member("holder"), 5, at(0))
			return state.givePromise(holder, at(1))
		}},
		"to one withdrawn from in a roster not known yet": {self: "other", do: func(state *rosterState) bool {
			target := state.member("holder")
			target.Session = 9
			state.withdraw(target, 7, at(0))
			later := state.roster.WithMember(state.member("other"))
			later.Version = 6
			state.install(later, at(1))
			return state.givePromise(holder, at(1))
		}},
		"again under a new session": {self: "other", want: true, do: func(state *rosterState) bool {
			target := state.member("holder")
			state.withdraw(target, 5, at(0))
			target.Session = 9
			later := state.roster.WithMember(target)
			later.Version = 6
			state.install(later, at(1))
			return state.givePromise(holder, at(1))
		}},
		"withdrawn from a member that is heard": {self: "other", do: func(state *rosterState) bool {
			state.givePromise(holder, at(0))
			return state.withdraw(state.member("holder"), 5, at(simBeat))
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := tc.do(threeMembers(tc.self, GuardPromise)); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestGuardEndsBeforeItsWrite checks that a process stops relying on GuardRelease as
// soon as it may have written another guard.
func TestGuardEndsBeforeItsWrite(t *testing.T) {
	state := threeMembers("holder", GuardRelease)
	if state.authorised(at(0), sessionLease{}) {
		t.Error("relies on a guard whose write it has not seen")
	}
	state.ignoreReleaseGuard = false
	if !state.authorised(at(0), sessionLease{}) {
		t.Error("not authorised although the guard is recorded")
	}
	if _, err := state.propose(state.roster, sessionLease{id: 1, valid: true}, observations{now: at(0)}); err != nil {
		t.Fatal(err)
	}
	if state.authorised(at(0), sessionLease{}) {
		t.Error("relies on a guard that it proposed to replace")
	}
	if !state.authorised(at(0), sessionLease{id: 1, valid: true}) {
		t.Error("not authorised under a valid session")
	}
}

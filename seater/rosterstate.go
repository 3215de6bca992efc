package seater

import (
	"fmt"
	"maps"
	"time"

	"zinniashore.example/keeper"
)

// missesUntilUnresponsive is the number of heartbeats after which a member that missed
// all of them counts as unresponsive.
const missesUntilUnresponsive = 3

// rosterConfig holds the settings that the members of a roster agree on.
type rosterConfig struct {
	heartbeat          time.Duration
	promiseLength      time.Duration
	maxRequestDuration time.Duration
	driftMargin        time.Duration
	pairGuard          Guard
}

// drainDuration is the time after the last new request in which requests may still be
// in flight.
func (rc rosterConfig) drainDuration() time.Duration { return rc.maxRequestDuration + rc.driftMargin }

// sessionLease is the store lease of this process and whether it is valid.
type sessionLease struct {
	id    keeper.LeaseID
	valid bool
}

// grant is a seat that this process holds.
type grant struct {
	epoch int64
	// since is when the holder learned of the grant. No earlier holder uses the seat
	// after it.
	since time.Time
	// usableFrom is the time from which no request of an earlier holder can be in
	// flight.
	usableFrom time.Time
	// stoppedAt is when the holder stopped using the seat, zero if it has not.
	stoppedAt time.Time
}

// withdrawal records that this process gives a member no promises under a session. The
// version is the roster version that the withdrawal refers to.
type withdrawal struct {
	session keeper.LeaseID
	version int64
}

// rosterState is what one member knows about one roster and the promises in it. Its
// methods receive the time as a parameter and do no input or output.
type rosterState struct {
	self   MemberRecord
	config rosterConfig
	roster Roster
	// membersSince is when this process first knew the current set of members.
	membersSince time.Time
	// ignoreReleaseGuard forbids relying on GuardRelease while another guard may be
	// recorded.
	ignoreReleaseGuard bool
	// joined is set once this incarnation has been in the roster.
	joined    bool
	leaving   bool
	draining  bool
	promises  map[identity]time.Time
	lastHeard map[identity]time.Time
	withdrawn map[identity]withdrawal
	grants    map[int]grant
	// expulsions are keyed by their target.
	expulsions map[identity]*expulsion
}

func newRosterState(self MemberRecord, roster Roster, config rosterConfig) *rosterState {
	return &rosterState{
		self: self, config: config, roster: roster, ignoreReleaseGuard: true,
		promises: map[identity]time.Time{}, lastHeard: map[identity]time.Time{},
		withdrawn: map[identity]withdrawal{}, grants: map[int]grant{},
		expulsions: map[identity]*expulsion{},
	}
}

// install replaces the known roster by a newer version of it.
func (rs *rosterState) install(r Roster, now time.Time) {
	if r.Version <= rs.roster.Version {
		return
	}
	if rs.roster.Generation != r.Generation || rs.roster.Version == 0 {
		rs.membersSince = now
		rs.expulsions = map[identity]*expulsion{}
	}
	rs.roster = r
	if rs.recorded() {
		rs.joined = true
	}
	rs.updateGrants(now)
	rs.deleteUnrecorded()
	for id, w := range rs.withdrawn {
		if r.Version > w.version && !hasSession(r, id, w.session) {
			delete(rs.withdrawn, id)
		}
	}
}

// deleteUnrecorded deletes the promises and the times of the last contact of processes
// that the roster no longer records.
func (rs *rosterState) deleteUnrecorded() {
	recorded := map[identity]bool{}
	for _, m := range rs.roster.Members {
		recorded[m.identity()] = true
	}
	other := func(id identity, _ time.Time) bool { return !recorded[id] }
	maps.DeleteFunc(rs.promises, other)
	maps.DeleteFunc(rs.lastHeard, other)
}

func (rs *rosterState) updateGrants(now time.Time) {
	held := map[int]grant{}
	if rs.recorded() {
		for _, seat := range rs.roster.HeldBy(rs.self.VM) {
			held[seat.Number] = rs.grantOf(seat, now)
		}
	}
	rs.grants = held
}

func (rs *rosterState) grantOf(seat Seat, now time.Time) grant {
	old, found := rs.grants[seat.Number]
	if found && old.epoch == seat.Epoch {
		return old
	}
	granted := grant{epoch: seat.Epoch, since: now, usableFrom: now}
	if !seat.Clean {
		granted.usableFrom = now.Add(rs.config.drainDuration())
	}
	return granted
}

// recorded reports whether the known roster records this incarnation.
func (rs *rosterState) recorded() bool {
	me, found := rs.roster.Member(rs.self.VM)
	return found && me.Incarnation == rs.self.Incarnation
}

// authorised reports whether this process may use the seats that the known roster
// assigns to it.
func (rs *rosterState) authorised(now time.Time, lease sessionLease) bool {
	me, found := rs.roster.Member(rs.self.VM)
	if !found || me.Incarnation != rs.self.Incarnation || rs.leaving {
		return false
	}
	if lease.valid && me.Session == lease.id {
		return true
	}
	if me.Guard == GuardRelease && !rs.ignoreReleaseGuard {
		return true
	}
	return rs.hasPromise(now)
}

// hasPromise reports whether another recorded member promises that this process keeps
// its seats.
func (rs *rosterState) hasPromise(now time.Time) bool {
	for _, m := range rs.roster.Members {
		until, found := rs.promises[m.identity()]
		if found && m.VM != rs.self.VM && now.Before(until) {
			return true
		}
	}
	return false
}

// usable returns the seats that this process may use now.
func (rs *rosterState) usable(now time.Time, lease sessionLease) []Seat {
	if !rs.authorised(now, lease) {
		return nil
	}
	var seats []Seat
	for _, seat := range rs.roster.HeldBy(rs.self.VM) {
		granted := rs.grants[seat.Number]
		if granted.stoppedAt.IsZero() && !now.Before(granted.usableFrom) {
			seats = append(seats, seat)
		}
	}
	return seats
}

// givePromise handles the heartbeat of a member and reports whether this process
// promises that the member keeps its seats.
func (rs *rosterState) givePromise(from identity, now time.Time) bool {
	m, found := rs.roster.Member(from.vm)
	if !found || m.identity() != from || !rs.recorded() || rs.leaving {
		return false
	}
	rs.lastHeard[from] = now
	_, withdrawn := rs.withdrawn[from]
	return !withdrawn
}

// recordPromise records the promise in the answer to a heartbeat. It lasts from sent,
// when the heartbeat was sent.
func (rs *rosterState) recordPromise(from identity, sent time.Time) {
	if _, withdrawn := rs.withdrawn[from]; withdrawn {
		return
	}
	until := sent.Add(rs.config.promiseLength)
	if until.After(rs.promises[from]) {
		rs.promises[from] = until
	}
}

// withdraw ends the promises in both directions between this process and a member
// whose session has ended. It refuses if this process heard from the member recently.
func (rs *rosterState) withdraw(target MemberRecord, version int64, now time.Time) bool {
	if target.VM == rs.self.VM || rs.heardRecently(target.identity(), now) {
		return false
	}
	if rs.roster.Version >= version && !hasSession(rs.roster, target.identity(), target.Session) {
		return false
	}
	rs.withdrawn[target.identity()] = withdrawal{session: target.Session, version: version}
	delete(rs.promises, target.identity())
	return true
}

// heardRecently reports whether the last contact with a member is more recent than the
// heartbeats that it may miss.
func (rs *rosterState) heardRecently(id identity, now time.Time) bool {
	last, found := rs.lastHeard[id]
	return found && now.Sub(last) < missesUntilUnresponsive*rs.config.heartbeat
}

// requiredGuard returns the guard that the seats of this process need in the roster.
func (rs *rosterState) requiredGuard(r Roster) Guard {
	switch {
	case r.localMembers() == 1:
		return GuardRelease
	case len(r.Members) == 2:
		return rs.config.pairGuard
	default:
		return GuardPromise
	}
}

// selfRecord returns the record of this process to be stored in the roster.
func (rs *rosterState) selfRecord(r Roster, session keeper.LeaseID) MemberRecord {
	record := rs.self
	record.Session = session
	record.Draining = rs.draining
	record.Guard = rs.requiredGuard(r.WithMember(record))
	return record
}

// join returns r with this process recorded under its session. It returns a
// *ReplacedError if r records another process for the VM.
func (rs *rosterState) join(r Roster, session keeper.LeaseID) (Roster, error) {
	old, found := r.Member(rs.self.VM)
	other := found && old.Incarnation != rs.self.Incarnation
	if other && (rs.joined || old.Address != rs.self.Address) {
		return Roster{}, &ReplacedError{VM: rs.self.VM, Incarnation: old.Incarnation, Address: old.Address}
	}
	return r.WithMember(rs.selfRecord(r, session)), nil
}

// ReplacedError reports that the roster records another process for the VM.
type ReplacedError struct {
	// VM is the entry VM.
	VM string
	// Incarnation and Address are those of the recorded process.
	Incarnation, Address string
}

// Error implements error.
func (e *ReplacedError) Error() string {
	return fmt.Sprintf("seater: VM %q is recorded as incarnation %q at %s", e.VM, e.Incarnation, e.Address)
}

// hasSession reports whether r records the process under the session.
func hasSession(r Roster, id identity, session keeper.LeaseID) bool {
	for _, m := range r.Members {
		if m.identity() == id && m.Session == session {
			return true
		}
	}
	return false
}

// propose returns the roster that this process writes in place of r. From then on the
// process relies on GuardRelease only if it proposed that guard and learns that it was
// written.
func (rs *rosterState) propose(r Roster, lease sessionLease, observed observations) (Roster, error) {
	after, err := rs.nextRoster(r, lease, observed)
	if err != nil {
		return r, err
	}
	if me, _ := after.Member(rs.self.VM); me.Guard != GuardRelease {
		rs.ignoreReleaseGuard = true
	}
	return after, nil
}

// confirm installs a roster that this process wrote.
func (rs *rosterState) confirm(r Roster, now time.Time) {
	rs.install(r, now)
	me, found := r.Member(rs.self.VM)
	if found && me.Incarnation == rs.self.Incarnation && me.Guard == GuardRelease {
		rs.ignoreReleaseGuard = false
	}
}

// nextRoster returns r with the changes that this process makes to it.
func (rs *rosterState) nextRoster(r Roster, lease sessionLease, observed observations) (Roster, error) {
	joined, err := rs.join(r, lease.id)
	if err != nil {
		return r, err
	}
	joined = rs.releaseDrained(joined, observed.now)
	joined = rs.expel(joined, observed)
	return rs.claim(joined, observed.liveLeases, observed.now), nil
}

// observations are what a decision about the roster depends on besides the roster.
type observations struct {
	now time.Time
	// liveLeases are the leases of the processes that the store lists as alive, by
	// process.
	liveLeases map[string]keeper.LeaseID
	// ended are the sessions that were just read to have ended, by process.
	ended map[string]keeper.LeaseID
}

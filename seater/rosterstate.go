package seater

import (
	"fmt"
	"maps"
	"time"

	"zinniashore.example/keeper"
)

// missesBeforeSilent is how many heartbeats a member may miss before it counts
// as silent.
const missesBeforeSilent = 3

// limits are the durations that the members of a roster agree on.
type limits struct {
	heartbeat      time.Duration
	promiseLength  time.Duration
	longestRequest time.Duration
	driftMargin    time.Duration
	pairGuard      Guard
}

// settling is how long nothing new is to start before nothing can be in flight.
func (l limits) settling() time.Duration { return l.longestRequest + l.driftMargin }

// lease is what a process knows of its own store session.
type lease struct {
	id    keeper.LeaseID
	valid bool
}

// grant is a seat as its holder knows it.
type grant struct {
	epoch int64
	// since is when the holder learned of the grant; no earlier holder used the
	// seat after it.
	since time.Time
	// usable is when nothing of an earlier holder can be in flight any more.
	usable time.Time
	// stopped is when the holder stopped using the seat, zero if it has not.
	stopped time.Time
}

// withdrawal is the word of this process that it promises a member nothing.
type withdrawal struct {
	session keeper.LeaseID
	version int64
}

// cohort is what one member knows of one roster and of the promises in it. Its
// methods take the time and do no input or output.
type cohort struct {
	self   Entrant
	limits limits
	known  Roster
	// membersSince is when this process first knew the present member set.
	membersSince time.Time
	// strict forbids relying on GuardRelease while its end may be recorded.
	strict bool
	// joined tells that this incarnation has been in the roster.
	joined    bool
	leaving   bool
	draining  bool
	promises  map[identity]time.Time
	heard     map[identity]time.Time
	withdrawn map[identity]withdrawal
	grants    map[int]grant
	// expulsions are by target.
	expulsions map[identity]*expulsion
}

func newCohort(self Entrant, known Roster, l limits) *cohort {
	return &cohort{
		self: self, limits: l, known: known, strict: true,
		promises: map[identity]time.Time{}, heard: map[identity]time.Time{},
		withdrawn: map[identity]withdrawal{}, grants: map[int]grant{},
		expulsions: map[identity]*expulsion{},
	}
}

// install takes in a newer version of the roster.
func (c *cohort) install(r Roster, now time.Time) {
	if r.Version <= c.known.Version {
		return
	}
	if c.known.Generation != r.Generation || c.known.Version == 0 {
		c.membersSince = now
		c.expulsions = map[identity]*expulsion{}
	}
	c.known = r
	if c.recorded() {
		c.joined = true
	}
	c.installGrants(now)
	c.forgetOthers()
	for id, w := range c.withdrawn {
		if r.Version > w.version && !hasSession(r, id, w.session) {
			delete(c.withdrawn, id)
		}
	}
}

// forgetOthers drops what is kept of processes that the roster has no more.
func (c *cohort) forgetOthers() {
	recorded := map[identity]bool{}
	for _, m := range c.known.Members {
		recorded[m.identity()] = true
	}
	other := func(id identity, _ time.Time) bool { return !recorded[id] }
	maps.DeleteFunc(c.promises, other)
	maps.DeleteFunc(c.heard, other)
}

func (c *cohort) installGrants(now time.Time) {
	held := map[int]grant{}
	if c.recorded() {
		for _, seat := range c.known.HeldBy(c.self.VM) {
			held[seat.Number] = c.grantOf(seat, now)
		}
	}
	c.grants = held
}

func (c *cohort) grantOf(seat Seat, now time.Time) grant {
	old, found := c.grants[seat.Number]
	if found && old.epoch == seat.Epoch {
		return old
	}
	g := grant{epoch: seat.Epoch, since: now, usable: now}
	if !seat.Clean {
		g.usable = now.Add(c.limits.settling())
	}
	return g
}

// recorded reports whether the known roster has this incarnation.
func (c *cohort) recorded() bool {
	me, found := c.known.Member(c.self.VM)
	return found && me.Incarnation == c.self.Incarnation
}

// authorised reports whether this process may use the seats that the known
// roster gives it.
func (c *cohort) authorised(now time.Time, l lease) bool {
	me, found := c.known.Member(c.self.VM)
	if !found || me.Incarnation != c.self.Incarnation || c.leaving {
		return false
	}
	if l.valid && me.Session == l.id {
		return true
	}
	if me.Guard == GuardRelease && !c.strict {
		return true
	}
	return c.promised(now)
}

// promised reports whether a recorded member has promised not to let the seats
// of this process go.
func (c *cohort) promised(now time.Time) bool {
	for _, m := range c.known.Members {
		until, found := c.promises[m.identity()]
		if found && m.VM != c.self.VM && now.Before(until) {
			return true
		}
	}
	return false
}

// usable returns the seats that this process may use now.
func (c *cohort) usable(now time.Time, l lease) []Seat {
	if !c.authorised(now, l) {
		return nil
	}
	var seats []Seat
	for _, seat := range c.known.HeldBy(c.self.VM) {
		g := c.grants[seat.Number]
		if g.stopped.IsZero() && !now.Before(g.usable) {
			seats = append(seats, seat)
		}
	}
	return seats
}

// promise answers the heartbeat of a member.
func (c *cohort) promise(from identity, now time.Time) bool {
	m, found := c.known.Member(from.vm)
	if !found || m.identity() != from || !c.recorded() || c.leaving {
		return false
	}
	c.heard[from] = now
	_, withdrawn := c.withdrawn[from]
	return !withdrawn
}

// countPromise takes in the answer to a heartbeat sent at sent.
func (c *cohort) countPromise(from identity, sent time.Time) {
	if _, withdrawn := c.withdrawn[from]; withdrawn {
		return
	}
	until := sent.Add(c.limits.promiseLength)
	if until.After(c.promises[from]) {
		c.promises[from] = until
	}
}

// withdraw ends the promises in both directions between this process and a
// member whose session has lapsed. It refuses while the member is heard.
func (c *cohort) withdraw(target Entrant, version int64, now time.Time) bool {
	if target.VM == c.self.VM || c.hears(target.identity(), now) {
		return false
	}
	if c.known.Version >= version && !hasSession(c.known, target.identity(), target.Session) {
		return false
	}
	c.withdrawn[target.identity()] = withdrawal{session: target.Session, version: version}
	delete(c.promises, target.identity())
	return true
}

// hears reports whether a member has been heard of within the heartbeats that
// it may miss.
func (c *cohort) hears(id identity, now time.Time) bool {
	last, found := c.heard[id]
	return found && now.Sub(last) < missesBeforeSilent*c.limits.heartbeat
}

// guard returns the guard that the seats of this process need among members.
func (c *cohort) guard(r Roster) Guard {
	switch {
	case r.homes() == 1:
		return GuardRelease
	case len(r.Members) == 2:
		return c.limits.pairGuard
	default:
		return GuardPromise
	}
}

// entrant returns this process as the roster is to record it.
func (c *cohort) entrant(r Roster, session keeper.LeaseID) Entrant {
	e := c.self
	e.Session = session
	e.Draining = c.draining
	e.Guard = c.guard(r.WithMember(e))
	return e
}

// join returns r with this process recorded under its session.
func (c *cohort) join(r Roster, session keeper.LeaseID) (Roster, error) {
	old, found := r.Member(c.self.VM)
	other := found && old.Incarnation != c.self.Incarnation
	if other && (c.joined || old.Address != c.self.Address) {
		return Roster{}, &ReplacedError{VM: c.self.VM, Incarnation: old.Incarnation, Address: old.Address}
	}
	return r.WithMember(c.entrant(r, session)), nil
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

// propose returns what this process writes over r. From then on the process
// relies on GuardRelease only if it proposed it and learns that it was written.
func (c *cohort) propose(r Roster, l lease, v view) (Roster, error) {
	after, err := c.next(r, l, v)
	if err != nil {
		return r, err
	}
	if me, _ := after.Member(c.self.VM); me.Guard != GuardRelease {
		c.strict = true
	}
	return after, nil
}

// confirm takes in a roster that this process wrote.
func (c *cohort) confirm(r Roster, now time.Time) {
	c.install(r, now)
	me, found := r.Member(c.self.VM)
	if found && me.Incarnation == c.self.Incarnation && me.Guard == GuardRelease {
		c.strict = false
	}
}

// next returns what r should become by the hand of this process.
func (c *cohort) next(r Roster, l lease, v view) (Roster, error) {
	joined, err := c.join(r, l.id)
	if err != nil {
		return r, err
	}
	joined = c.release(joined, v.now)
	joined = c.expel(joined, v)
	return c.claim(joined, v.alive, v.now), nil
}

// view is what a decision about the roster depends on besides the roster.
type view struct {
	now time.Time
	// alive are the leases of the processes that the store lists as alive.
	alive map[string]keeper.LeaseID
	// lapsed are the processes whose session was just read to have ended.
	lapsed map[string]keeper.LeaseID
}

package placer

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// DefaultEvictionBudget is the number of tasks that may be evicted to protect
// services and quotas within an EvictionPeriod.
const DefaultEvictionBudget = 8

// EvictionPeriod is the time over which evictions count against the budget.
const EvictionPeriod = time.Minute

// Placer decides over snapshots. Its exported fields are set before use; those
// that are empty have defaults.
type Placer struct {
	// Seed makes the choice among equals deterministic.
	Seed uint64
	// EvictionBudget is the number of evictions in an EvictionPeriod, zero for
	// DefaultEvictionBudget. Urgent work and services waiting for room, leaving
	// workers and lack of memory are not held back by it.
	EvictionBudget int
	// Orders put the waiting tasks in order.
	Orders []Prioritized[Order]
	// Filters rule workers out.
	Filters []Prioritized[Filter]
	// Scorers choose among the workers that are left.
	Scorers []Prioritized[Scorer]
	// Claims let waiting tasks evict others.
	Claims []Prioritized[Claim]
	// Reactions act on what runs.
	Reactions []Prioritized[Reaction]
}

// Decide returns the plan for a snapshot. It depends on nothing else than the
// fields of the Placer and the snapshot.
func (p *Placer) Decide(snapshot Snapshot) Plan {
	d := p.withDefaults()
	l := newLedger(&snapshot)
	l.evictions = recentEvictions(&snapshot)
	var plan Plan
	r := &Reactor{ledger: l, plan: &plan, budget: d.EvictionBudget}
	before, after := splitReactions(d.Reactions)
	for _, reaction := range before {
		reaction.React(r)
	}
	d.placeAll(l, &plan)
	for _, reaction := range after {
		reaction.React(r)
	}
	return plan
}

// splitReactions parts the reactions at PlacementPriority.
func splitReactions(reactions []Prioritized[Reaction]) (before, after []Reaction) {
	early := slices.DeleteFunc(slices.Clone(reactions), func(p Prioritized[Reaction]) bool {
		return p.Priority >= PlacementPriority
	})
	ordered := sorted(reactions)
	return ordered[:len(early)], ordered[len(early):]
}

func (p *Placer) withDefaults() *Placer {
	d := *p
	if d.EvictionBudget == 0 {
		d.EvictionBudget = DefaultEvictionBudget
	}
	if d.Orders == nil {
		d.Orders = DefaultOrders()
	}
	if d.Filters == nil {
		d.Filters = DefaultFilters()
	}
	if d.Scorers == nil {
		d.Scorers = DefaultScorers(d.Seed)
	}
	if d.Claims == nil {
		d.Claims = DefaultClaims()
	}
	if d.Reactions == nil {
		d.Reactions = DefaultReactions()
	}
	return &d
}

// recentEvictions counts the evictions under way and those of the last period.
func recentEvictions(snapshot *Snapshot) int {
	count := 0
	for i := range snapshot.Tasks {
		task := &snapshot.Tasks[i]
		recent := snapshot.Now.Sub(task.Since) < EvictionPeriod
		waits := task.State == TaskWaiting && task.Evictions > 0 && recent
		if task.State == TaskEvicting || waits {
			count++
		}
	}
	return count
}

// shape is what decides where a task may go. Tasks of equal shape find the same
// workers.
type shape struct {
	size     Size
	class    Class
	template string
	domains  string
}

// failure is why a task found no room, after a number of changes to the ledger.
type failure struct {
	code    ReasonCode
	detail  string
	changes int
}

// placeAll starts, makes room for or explains each waiting task.
func (p *Placer) placeAll(l *ledger, plan *Plan) {
	s := &search{
		placer:  p,
		ledger:  l,
		filters: sorted(p.Filters),
		scorers: sorted(p.Scorers),
		failed:  map[shape]failure{},
	}
	plan.Waiting = append(plan.Waiting, unresolved(l)...)
	for _, w := range p.queue(l) {
		if waiting, waits := s.place(plan, w); waits {
			plan.Waiting = append(plan.Waiting, waiting)
		}
	}
}

// unresolved explains the waiting tasks whose last attempt may still run somewhere.
func unresolved(l *ledger) []Waiting {
	var found []Waiting
	for i := range l.snapshot.Tasks {
		task := &l.snapshot.Tasks[i]
		if task.State != TaskWaiting || len(task.Workers) == 0 {
			continue
		}
		detail := "its last attempt may still run on " + strings.Join(task.Workers, " and ")
		found = append(found, Waiting{Task: task.ID, Code: ReasonUnresolved, Detail: detail})
	}
	return found
}

// search places tasks one after the other.
type search struct {
	placer  *Placer
	ledger  *ledger
	filters []Filter
	scorers []Scorer
	failed  map[shape]failure
}

func (s *search) place(plan *Plan, w *Waiter) (Waiting, bool) {
	if detail, impossible := never(s.ledger, w.Task, w.Size); impossible {
		return Waiting{Task: w.Task.ID, Code: ReasonNever, Detail: detail}, true
	}
	if w.Task.NotBefore.After(w.Now) {
		detail := "its window begins at " + w.Task.NotBefore.UTC().Format(time.RFC3339)
		return Waiting{Task: w.Task.ID, Code: ReasonWindow, Detail: detail}, true
	}
	r, why := s.find(w)
	if r != nil {
		s.start(plan, w, r)
		return Waiting{}, false
	}
	if detail, coming := s.placer.claimRoom(s.ledger, plan, w); coming {
		return Waiting{Task: w.Task.ID, Code: ReasonCapacity, Detail: detail}, true
	}
	return s.explain(w, why), true
}

func (s *search) start(plan *Plan, w *Waiter, r *room) {
	l := s.ledger
	l.occupy(r, w.Task, w.Size)
	l.use[w.Task.Organisation] = l.use[w.Task.Organisation].Plus(w.Size)
	plan.Actions = append(plan.Actions, Action{
		Kind:     ActionStart,
		Task:     w.Task.ID,
		Worker:   r.worker.ID,
		Throttle: 1,
		Reserved: w.Size,
	})
}

func (s *search) explain(w *Waiter, why failure) Waiting {
	if !w.Borrowing {
		return Waiting{Task: w.Task.ID, Code: why.code, Detail: why.detail}
	}
	limit := s.ledger.quotas[w.Task.Organisation]
	detail := fmt.Sprintf("%s exceeds its quota of %s and borrows only free room: %s",
		w.Task.Organisation, describe(limit), why.detail)
	return Waiting{Task: w.Task.ID, Code: ReasonQuota, Detail: detail}
}

// find returns the best room for a waiter, or the reason for which there is
// none. Rooms only fill up while a plan is made, so that a shape that found no
// room is not tried again.
func (s *search) find(w *Waiter) (*room, failure) {
	key := shape{size: w.Size, class: w.Task.Class, template: w.Task.Template, domains: placeName(w.Task)}
	why, known := s.failed[key]
	if known && why.changes == s.ledger.changes {
		return nil, why
	}
	if !known {
		best, code := s.scan(w)
		if best != nil {
			return best, failure{}
		}
		why.code = code
	}
	why.changes = s.ledger.changes
	why.detail = waitingDetail(s.ledger, w.Task, w.Size, why.code)
	if len(w.Task.Excluded) == 0 {
		s.failed[key] = why
	}
	return nil, why
}

func (s *search) scan(w *Waiter) (*room, ReasonCode) {
	var best *room
	var lowest scores
	code := ReasonCapacity
	c := s.ledger.candidate(w.Task, w.Size, nil)
	for _, r := range s.ledger.rooms {
		c.enter(r)
		reason, admitted := admitsAll(s.filters, &c)
		if !admitted {
			code = worse(code, reason)
			continue
		}
		if lowest.improve(s.scorers, &c, best == nil) {
			best = r
		}
	}
	return best, code
}

// worse keeps the reason of the filter that let a worker come furthest.
func worse(code, reason ReasonCode) ReasonCode {
	if reason == ReasonInterference {
		return reason
	}
	return code
}

// admits reports whether all filters admit a candidate.
func (p *Placer) admits(c *Candidate) (ReasonCode, bool) {
	return admitsAll(sorted(p.Filters), c)
}

func admitsAll(filters []Filter, c *Candidate) (ReasonCode, bool) {
	for _, filter := range filters {
		if reason, admitted := filter.Admits(c); !admitted {
			return reason, false
		}
	}
	return "", true
}

// candidate returns a Candidate for a task that is in a room, or in none yet if
// that is nil.
func (l *ledger) candidate(task *Task, size Size, r *room) Candidate {
	c := Candidate{
		Task:     task,
		Size:     size,
		ledger:   l,
		template: l.templateIndex(task.Template),
	}
	if r != nil {
		c.enter(r)
	}
	return c
}

// enter considers another room.
func (c *Candidate) enter(r *room) {
	c.room = r
	c.Worker = r.worker
	c.Free = r.free
}

// maxScorers limits the number of registered scorers.
const maxScorers = 16

// scores are the scores of the best candidate so far.
type scores struct {
	values [maxScorers]float64
}

// improve compares a candidate with the best and takes its place if it is
// better or the first.
func (s *scores) improve(scorers []Scorer, c *Candidate, first bool) bool {
	better := first
	for i, scorer := range scorers[:min(len(scorers), maxScorers)] {
		value := scorer.Score(c)
		if !better && value > s.values[i] {
			return false
		}
		better = better || value < s.values[i]
		if better {
			s.values[i] = value
		}
	}
	return better
}

// clampThrottle keeps a throttle within its steps.
func clampThrottle(throttle float64) float64 {
	return math.Min(1, math.Max(minThrottle, throttle))
}

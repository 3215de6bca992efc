package placer

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// DefaultEvictionBudget is the number of tasks that may be evicted within an
// EvictionPeriod to protect services and quotas.
const DefaultEvictionBudget = 8

// EvictionPeriod is the time for which an eviction counts against the budget.
const EvictionPeriod = time.Minute

// Placer computes plans from snapshots. Its exported fields must be set before use; empty
// fields have defaults.
type Placer struct {
	// Seed selects the hash that decides between equal candidates.
	Seed uint64
	// EvictionBudget is the number of evictions in an EvictionPeriod,
	// DefaultEvictionBudget if zero. It does not limit the evictions for urgent tasks and
	// waiting services, from draining workers, or for lack of memory.
	EvictionBudget int
	// Orders sort the waiting tasks.
	Orders []Prioritized[Order]
	// Filters reject workers for a task.
	Filters []Prioritized[Filter]
	// Scorers choose among the workers that pass the filters.
	Scorers []Prioritized[Scorer]
	// PreemptionPolicies decide which placed tasks a waiting task may evict.
	PreemptionPolicies []Prioritized[PreemptionPolicy]
	// Adjusters evict, throttle and resize placed tasks.
	Adjusters []Prioritized[Adjuster]
}

// Decide returns the plan for a snapshot. The plan depends only on the snapshot and the
// fields of the Placer.
func (p *Placer) Decide(snapshot Snapshot) Plan {
	d := p.withDefaults()
	l := newLedger(&snapshot)
	l.evictions = recentEvictions(&snapshot)
	var plan Plan
	builder := &PlanBuilder{ledger: l, plan: &plan, budget: d.EvictionBudget}
	before, after := splitAdjusters(d.Adjusters)
	for _, adjuster := range before {
		adjuster.Adjust(builder)
	}
	d.placeAll(l, &plan)
	for _, adjuster := range after {
		adjuster.Adjust(builder)
	}
	return plan
}

// splitAdjusters sorts the adjusters and splits them at PlacementPriority.
func splitAdjusters(adjusters []Prioritized[Adjuster]) (before, after []Adjuster) {
	early := slices.DeleteFunc(slices.Clone(adjusters), func(p Prioritized[Adjuster]) bool {
		return p.Priority >= PlacementPriority
	})
	ordered := sorted(adjusters)
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
	if d.PreemptionPolicies == nil {
		d.PreemptionPolicies = DefaultPreemptionPolicies()
	}
	if d.Adjusters == nil {
		d.Adjusters = DefaultAdjusters()
	}
	return &d
}

// recentEvictions counts the evictions in progress and those of the last EvictionPeriod.
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

// equivalenceClass holds the properties of a task that decide on which workers it fits.
// Tasks of one class without excluded workers fit on the same workers.
type equivalenceClass struct {
	size     Size
	class    Class
	template string
	domains  string
}

// placementFailure is the reason why no worker was found for a task, and the number of
// changes to the ledger at that time.
type placementFailure struct {
	code          ReasonCode
	detail        string
	ledgerChanges int
}

// placeAll starts each waiting task, plans evictions for it, or records why it waits.
func (p *Placer) placeAll(l *ledger, plan *Plan) {
	s := &search{
		placer:   p,
		ledger:   l,
		filters:  sorted(p.Filters),
		scorers:  sorted(p.Scorers),
		failures: map[equivalenceClass]placementFailure{},
	}
	plan.Waiting = append(plan.Waiting, unresolvedTasks(l)...)
	for _, queued := range p.queue(l) {
		if waiting, waits := s.place(plan, queued); waits {
			plan.Waiting = append(plan.Waiting, waiting)
		}
	}
}

// unresolvedTasks returns the waiting tasks whose last attempt may still run on a worker.
func unresolvedTasks(l *ledger) []Waiting {
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
	placer   *Placer
	ledger   *ledger
	filters  []Filter
	scorers  []Scorer
	failures map[equivalenceClass]placementFailure
}

func (s *search) place(plan *Plan, queued *QueuedTask) (Waiting, bool) {
	if detail, impossible := neverFits(s.ledger, queued.Task, queued.Size); impossible {
		return Waiting{Task: queued.Task.ID, Code: ReasonNever, Detail: detail}, true
	}
	if queued.Task.NotBefore.After(queued.Now) {
		detail := "its window begins at " + queued.Task.NotBefore.UTC().Format(time.RFC3339)
		return Waiting{Task: queued.Task.ID, Code: ReasonWindow, Detail: detail}, true
	}
	info, failure := s.findWorker(queued)
	if info != nil {
		s.start(plan, queued, info)
		return Waiting{}, false
	}
	if detail, freeing := s.placer.preempt(s.ledger, plan, queued); freeing {
		return Waiting{Task: queued.Task.ID, Code: ReasonCapacity, Detail: detail}, true
	}
	return s.explain(queued, failure), true
}

func (s *search) start(plan *Plan, queued *QueuedTask, info *workerInfo) {
	l := s.ledger
	l.allocate(info, queued.Task, queued.Size)
	l.usage[queued.Task.Organisation] = l.usage[queued.Task.Organisation].Plus(queued.Size)
	plan.Actions = append(plan.Actions, Action{
		Kind:     ActionStart,
		Task:     queued.Task.ID,
		Worker:   info.worker.ID,
		Throttle: 1,
		Reserved: queued.Size,
	})
}

func (s *search) explain(queued *QueuedTask, failure placementFailure) Waiting {
	if !queued.Borrowing || failure.code == ReasonEvacuated {
		return Waiting{Task: queued.Task.ID, Code: failure.code, Detail: failure.detail}
	}
	limit := s.ledger.quotas[queued.Task.Organisation]
	detail := fmt.Sprintf("%s exceeds its quota of %s and borrows only free room: %s",
		queued.Task.Organisation, formatSize(limit), failure.detail)
	return Waiting{Task: queued.Task.ID, Code: ReasonQuota, Detail: detail}
}

// findWorker returns the best worker for a task, or the reason why there is none. Free
// capacity only shrinks while waiting tasks are placed, so an equivalence class that
// failed once is not searched again.
func (s *search) findWorker(queued *QueuedTask) (*workerInfo, placementFailure) {
	key := equivalenceClass{size: queued.Size, class: queued.Task.Class, template: queued.Task.Template, domains: domainsText(queued.Task)}
	failure, known := s.failures[key]
	if known && failure.ledgerChanges == s.ledger.changes {
		return nil, failure
	}
	if !known {
		best, code := s.bestWorker(queued)
		if best != nil {
			return best, placementFailure{}
		}
		failure.code = code
	}
	failure.ledgerChanges = s.ledger.changes
	failure.code, failure.detail = waitingReason(s.ledger, queued.Task, queued.Size, failure.code)
	if len(queued.Task.Excluded) == 0 {
		s.failures[key] = failure
	}
	return nil, failure
}

func (s *search) bestWorker(queued *QueuedTask) (*workerInfo, ReasonCode) {
	var best *workerInfo
	var lowest scores
	code := ReasonCapacity
	c := s.ledger.candidate(queued.Task, queued.Size, nil)
	for _, info := range s.ledger.workers {
		c.consider(info)
		reason, admitted := admitsAll(s.filters, &c)
		if !admitted {
			code = moreSpecific(code, reason)
			continue
		}
		if lowest.improve(s.scorers, &c, best == nil) {
			best = info
		}
	}
	return best, code
}

// moreSpecific returns the more specific of two reasons. Interference takes precedence,
// because a worker that was rejected for it has passed the capacity filters.
func moreSpecific(code, reason ReasonCode) ReasonCode {
	if reason == ReasonInterference {
		return reason
	}
	return code
}

// admits reports whether all filters admit a candidate, and otherwise the reason.
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

// candidate returns a Candidate for a task on a worker, or on no worker yet if info is
// nil.
func (l *ledger) candidate(task *Task, size Size, info *workerInfo) Candidate {
	c := Candidate{
		Task:     task,
		Size:     size,
		ledger:   l,
		template: l.templateIndex(task.Template),
	}
	if info != nil {
		c.consider(info)
	}
	return c
}

// consider sets the worker that is considered.
func (c *Candidate) consider(info *workerInfo) {
	c.info = info
	c.Worker = info.worker
	c.Free = info.free
}

// maxScorers is the maximum number of scorers that are used.
const maxScorers = 16

// scores holds the scores of the best candidate so far.
type scores struct {
	values [maxScorers]float64
}

// improve compares a candidate with the best one and stores its scores if it is better or
// the first.
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

// clampThrottle limits a throttle to the range from minThrottle to 1.
func clampThrottle(throttle float64) float64 {
	return math.Min(1, math.Max(minThrottle, throttle))
}

package placer

import (
	"cmp"
	"slices"
	"time"
)

// tenant is a task that may run on a worker.
type tenant struct {
	task     *Task
	held     Size
	leaving  bool
	resized  bool
	template int
	// excess is the expected slowdown above 1 that the neighbours cause.
	excess float64
	// timed tells that slack is known.
	timed bool
	slack time.Duration
}

// room is what the decision knows of one worker.
type room struct {
	worker   *Worker
	free     Size
	coming   Size
	tenants  []*tenant
	services []*tenant
}

// expected is the free size once the evictions under way are done.
func (r *room) expected() Size {
	return r.free.Plus(r.coming)
}

// ledger accounts for one decision. It starts from a snapshot and follows the
// actions as they are planned.
type ledger struct {
	snapshot  *Snapshot
	rooms     []*room
	byWorker  map[string]*room
	use       map[string]Size
	quotas    map[string]Size
	spread    spreadCounts
	groups    map[string]int
	serving   map[int]bool
	quiet     map[int]float64
	templates map[string]int
	names     []string
	pairs     map[[2]int]float64
	evictions int
	changes   int
}

func newLedger(snapshot *Snapshot) *ledger {
	l := &ledger{
		snapshot:  snapshot,
		byWorker:  make(map[string]*room, len(snapshot.Workers)),
		use:       map[string]Size{},
		quotas:    map[string]Size{},
		spread:    spreadCounts{},
		groups:    map[string]int{},
		serving:   map[int]bool{},
		quiet:     map[int]float64{},
		templates: map[string]int{},
		pairs:     map[[2]int]float64{},
	}
	for i := range snapshot.Workers {
		l.addWorker(&snapshot.Workers[i])
	}
	for _, quota := range snapshot.Quotas {
		l.quotas[quota.Organisation] = quota.Limit
	}
	for i := range snapshot.Tasks {
		l.addTask(&snapshot.Tasks[i])
	}
	return l
}

func (l *ledger) addWorker(worker *Worker) {
	r := &room{worker: worker, free: worker.Capacity}
	l.rooms = append(l.rooms, r)
	l.byWorker[worker.ID] = r
}

func (l *ledger) addTask(task *Task) {
	if task.Class == ClassService {
		l.serving[l.templateIndex(task.Template)] = true
	}
	if task.Group != "" {
		l.groups[task.Group]++
	}
	if task.State == TaskWaiting && len(task.Workers) == 0 {
		return
	}
	held := heldSize(task)
	l.use[task.Organisation] = l.use[task.Organisation].Plus(held)
	for _, id := range task.Workers {
		if r, known := l.byWorker[id]; known {
			l.occupy(r, task, held)
		}
	}
}

// heldSize is what a task that may run somewhere keeps reserved there.
func heldSize(task *Task) Size {
	if task.Reserved == (Size{}) {
		return task.Declared
	}
	return task.Reserved
}

// occupy takes a room for a task.
func (l *ledger) occupy(r *room, task *Task, held Size) *tenant {
	t := &tenant{
		task:     task,
		held:     held,
		template: l.templateIndex(task.Template),
		leaving:  task.State == TaskEvicting,
	}
	for _, service := range r.services {
		service.excess += l.pair(service.template, t.template)
	}
	t.excess = l.excessBeside(t, r)
	l.changes++
	r.free = r.free.Minus(held)
	r.tenants = append(r.tenants, t)
	if t.leaving {
		r.coming = r.coming.Plus(held)
	}
	if task.Class == ClassService {
		r.services = append(r.services, t)
		l.spread.add(task.Group, r.worker, 1)
	}
	return t
}

// excessBeside is the slowdown above 1 of a service among the tenants of a room.
func (l *ledger) excessBeside(t *tenant, r *room) float64 {
	if t.task.Class != ClassService {
		return 0
	}
	excess := 0.0
	for _, neighbour := range r.tenants {
		if neighbour.task != t.task {
			excess += l.pair(t.template, neighbour.template)
		}
	}
	return excess
}

// release marks a tenant as being evicted. It holds its room until it has
// stopped.
func (l *ledger) release(r *room, t *tenant) {
	t.leaving = true
	r.coming = r.coming.Plus(t.held)
	l.use[t.task.Organisation] = l.use[t.task.Organisation].Minus(t.held)
	l.evictions++
}

// hold keeps room for a task that waits for evictions.
func (l *ledger) hold(r *room, size Size) {
	l.changes++
	r.free = r.free.Minus(size)
}

func (l *ledger) templateIndex(template string) int {
	index, known := l.templates[template]
	if !known {
		index = len(l.names)
		l.templates[template] = index
		l.names = append(l.names, template)
	}
	return index
}

// pair is the slowdown above 1 that one neighbour causes a template.
func (l *ledger) pair(template, neighbour int) float64 {
	if l.snapshot.Estimates == nil {
		return 0
	}
	key := [2]int{template, neighbour}
	excess, known := l.pairs[key]
	if !known {
		names := []string{l.names[neighbour]}
		excess = l.snapshot.Estimates.Slowdown(l.names[template], names) - 1
		l.pairs[key] = excess
	}
	return excess
}

// quietness tells how little a template slows any service of the cell down, from
// 0 for one that no service bears to 1.
func (l *ledger) quietness(template int) float64 {
	quiet, known := l.quiet[template]
	if known {
		return quiet
	}
	noise := 0.0
	for service := range l.serving {
		noise = max(noise, l.pair(service, template))
	}
	quiet = max(0, 1-noise/expectedExcess)
	l.quiet[template] = quiet
	return quiet
}

// measured is the slowdown that a service shows now.
func (l *ledger) measured(t *tenant) float64 {
	if l.snapshot.Estimates == nil {
		return 1
	}
	return l.snapshot.Estimates.Measured(t.task.ID)
}

// sizeFor is the size to reserve for a new attempt of a task: what was learned, cut
// down to the largest worker that could carry what is declared, or the declared size
// if there is none.
func (l *ledger) sizeFor(task *Task) Size {
	if l.snapshot.Estimates == nil {
		return task.Declared
	}
	learned := l.snapshot.Estimates.Size(task.Template, task.Declared)
	learned.Accelerators = task.Declared.Accelerators
	if l.carries(task, learned) {
		return learned
	}
	largest, found := l.largestFor(task)
	if !found {
		return task.Declared
	}
	return learned.Min(largest)
}

// carries reports whether a worker of a task's failure domains could carry a size
// when empty.
func (l *ledger) carries(task *Task, size Size) bool {
	return slices.ContainsFunc(l.rooms, func(r *room) bool {
		return size.Within(r.worker.Capacity) && inDomains(task, r.worker)
	})
}

// largestFor is the largest capacity, by memory first, among the workers that could
// carry the declared size of a task, and whether there is one.
func (l *ledger) largestFor(task *Task) (Size, bool) {
	var largest Size
	found := false
	for _, r := range l.rooms {
		capacity := r.worker.Capacity
		if !inDomains(task, r.worker) || !task.Declared.Within(capacity) {
			continue
		}
		larger := cmp.Or(cmp.Compare(capacity.Memory, largest.Memory), cmp.Compare(capacity.Processors, largest.Processors))
		if larger > 0 {
			largest = capacity
		}
		found = true
	}
	return largest, found
}

// remaining is the run time that a task may still need.
func (l *ledger) remaining(task *Task) time.Duration {
	ran := task.Ran
	if task.State == TaskPlaced && !task.Since.IsZero() {
		ran += time.Duration(throttleOf(task) * float64(l.snapshot.Now.Sub(task.Since)))
	}
	declared := task.Work + task.Ran
	times, learns := l.snapshot.Estimates.(RunTimes)
	if !learns {
		return max(0, declared-ran)
	}
	return times.Remaining(task.Template, declared, ran)
}

// slack is the time that a task can still wait and end by its deadline, and
// whether it has one.
func (l *ledger) slack(task *Task) (time.Duration, bool) {
	if task.Deadline.IsZero() {
		return 0, false
	}
	return task.Deadline.Sub(l.snapshot.Now) - l.remaining(task), true
}

// tenantSlack is the slack of the task of a tenant, which is worked out once.
func (l *ledger) tenantSlack(t *tenant) (time.Duration, bool) {
	if !t.timed {
		t.slack, _ = l.slack(t.task)
		t.timed = true
	}
	return t.slack, !t.task.Deadline.IsZero()
}

// learned reports whether sizes of a template are more than cautious guesses, as far
// as the estimates tell.
func (l *ledger) learned(template string) bool {
	confidence, tells := l.snapshot.Estimates.(Confidence)
	return tells && confidence.Learned(template)
}

// reclaimable reports whether an organisation exceeds its quota.
func (l *ledger) reclaimable() bool {
	for organisation := range l.quotas {
		if l.borrows(organisation, Size{}) {
			return true
		}
	}
	return false
}

// borrows reports whether an organisation would exceed its quota with a size.
// An organisation without a quota never borrows.
func (l *ledger) borrows(organisation string, size Size) bool {
	limit, limited := l.quotas[organisation]
	return limited && !l.use[organisation].Plus(size).Within(limit)
}

// spreadCounts counts the instances of groups by place.
type spreadCounts map[spreadKey]int

// spreadKey names a place; rack and worker are empty for the levels above them.
type spreadKey struct {
	group  string
	domain string
	rack   string
	worker string
}

func (s spreadCounts) add(group string, worker *Worker, count int) {
	if group == "" {
		return
	}
	for _, key := range placesOf(group, worker) {
		s[key] += count
	}
}

// placesOf names the failure domain, the rack and the worker of a group.
func placesOf(group string, worker *Worker) [3]spreadKey {
	domain := spreadKey{group: group, domain: worker.FailureDomain}
	rack := domain
	rack.rack = worker.Rack
	single := rack
	single.worker = worker.ID
	return [3]spreadKey{domain, rack, single}
}

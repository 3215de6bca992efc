package placer

import (
	"cmp"
	"slices"
	"time"
)

// allocation is a task that may run on a worker, with its reserved size.
type allocation struct {
	task     *Task
	reserved Size
	evicting bool
	resized  bool
	template int
	// excess is the expected excess slowdown that the co-located tasks cause the service.
	excess float64
	// slackKnown is true once slack is computed.
	slackKnown bool
	slack      time.Duration
}

// workerInfo holds the allocations and the free capacity of a worker during a decision.
type workerInfo struct {
	worker *Worker
	free   Size
	// releasing is the total size of the allocations that are being evicted.
	releasing   Size
	allocations []*allocation
	services    []*allocation
}

// futureFree returns the free capacity after the evictions in progress.
func (w *workerInfo) futureFree() Size {
	return w.free.Plus(w.releasing)
}

// ledger tracks reservations during one decision. It is initialized from a snapshot and
// updated as actions are planned.
type ledger struct {
	snapshot         *Snapshot
	workers          []*workerInfo
	workersByID      map[string]*workerInfo
	usage            map[string]Size
	quotas           map[string]Size
	spread           spreadCounts
	groupSizes       map[string]int
	serviceTemplates map[int]bool
	quietnesses      map[int]float64
	templateIndices  map[string]int
	templateNames    []string
	pairExcesses     map[[2]int]float64
	evictions        int
	changes          int
}

func newLedger(snapshot *Snapshot) *ledger {
	l := &ledger{
		snapshot:         snapshot,
		workersByID:      make(map[string]*workerInfo, len(snapshot.Workers)),
		usage:            map[string]Size{},
		quotas:           map[string]Size{},
		spread:           spreadCounts{},
		groupSizes:       map[string]int{},
		serviceTemplates: map[int]bool{},
		quietnesses:      map[int]float64{},
		templateIndices:  map[string]int{},
		pairExcesses:     map[[2]int]float64{},
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
	info := &workerInfo{worker: worker, free: worker.Capacity}
	l.workers = append(l.workers, info)
	l.workersByID[worker.ID] = info
}

func (l *ledger) addTask(task *Task) {
	if task.Class == ClassService {
		l.serviceTemplates[l.templateIndex(task.Template)] = true
	}
	if task.Group != "" {
		l.groupSizes[task.Group]++
	}
	if task.State == TaskWaiting && len(task.Workers) == 0 {
		return
	}
	reserved := reservedSize(task)
	l.usage[task.Organisation] = l.usage[task.Organisation].Plus(reserved)
	for _, id := range task.Workers {
		if info, known := l.workersByID[id]; known {
			l.allocate(info, task, reserved)
		}
	}
}

// reservedSize returns the size that a task reserves on each worker where it may run.
func reservedSize(task *Task) Size {
	if task.Reserved == (Size{}) {
		return task.Declared
	}
	return task.Reserved
}

// allocate reserves a size on a worker for a task.
func (l *ledger) allocate(info *workerInfo, task *Task, reserved Size) *allocation {
	alloc := &allocation{
		task:     task,
		reserved: reserved,
		template: l.templateIndex(task.Template),
		evicting: task.State == TaskEvicting,
	}
	for _, service := range info.services {
		service.excess += l.pairExcess(service.template, alloc.template)
	}
	alloc.excess = l.totalExcess(alloc, info)
	l.changes++
	info.free = info.free.Minus(reserved)
	info.allocations = append(info.allocations, alloc)
	if alloc.evicting {
		info.releasing = info.releasing.Plus(reserved)
	}
	if task.Class == ClassService {
		info.services = append(info.services, alloc)
		l.spread.add(task.Group, info.worker, 1)
	}
	return alloc
}

// totalExcess returns the expected excess slowdown of a service among the allocations of
// a worker, or 0 for a batch task.
func (l *ledger) totalExcess(alloc *allocation, info *workerInfo) float64 {
	if alloc.task.Class != ClassService {
		return 0
	}
	excess := 0.0
	for _, other := range info.allocations {
		if other.task != alloc.task {
			excess += l.pairExcess(alloc.template, other.template)
		}
	}
	return excess
}

// markEvicting marks an allocation as being evicted. It keeps its reservation until the
// task has stopped.
func (l *ledger) markEvicting(info *workerInfo, alloc *allocation) {
	alloc.evicting = true
	info.releasing = info.releasing.Plus(alloc.reserved)
	l.usage[alloc.task.Organisation] = l.usage[alloc.task.Organisation].Minus(alloc.reserved)
	l.evictions++
}

// reserve subtracts a size from the free capacity of a worker for a task that waits for
// evictions.
func (l *ledger) reserve(info *workerInfo, size Size) {
	l.changes++
	info.free = info.free.Minus(size)
}

func (l *ledger) templateIndex(template string) int {
	index, known := l.templateIndices[template]
	if !known {
		index = len(l.templateNames)
		l.templateIndices[template] = index
		l.templateNames = append(l.templateNames, template)
	}
	return index
}

// pairExcess returns the expected excess slowdown that one co-located task causes a task.
// Both are given by the indices of their templates.
func (l *ledger) pairExcess(template, other int) float64 {
	if l.snapshot.Estimates == nil {
		return 0
	}
	key := [2]int{template, other}
	excess, known := l.pairExcesses[key]
	if !known {
		names := []string{l.templateNames[other]}
		excess = l.snapshot.Estimates.Slowdown(l.templateNames[template], names) - 1
		l.pairExcesses[key] = excess
	}
	return excess
}

// quietness returns how little a template interferes with the services of the cell: 1 if
// it has no effect on any of them, 0 if its effect on one reaches maxExpectedExcess.
func (l *ledger) quietness(template int) float64 {
	value, known := l.quietnesses[template]
	if known {
		return value
	}
	noise := 0.0
	for service := range l.serviceTemplates {
		noise = max(noise, l.pairExcess(service, template))
	}
	value = max(0, 1-noise/maxExpectedExcess)
	l.quietnesses[template] = value
	return value
}

// measuredSlowdown returns the slowdown that a service currently shows, or 1 without
// estimates.
func (l *ledger) measuredSlowdown(alloc *allocation) float64 {
	if l.snapshot.Estimates == nil {
		return 1
	}
	return l.snapshot.Estimates.Measured(alloc.task.ID)
}

// sizeFor returns the size to reserve for a new attempt of a task. It is the learned
// size, limited to the largest worker that could run the declared size, or the declared
// size if there is no such worker.
func (l *ledger) sizeFor(task *Task) Size {
	if l.snapshot.Estimates == nil {
		return task.Declared
	}
	learned := l.snapshot.Estimates.Size(task.Template, task.Declared)
	learned.Accelerators = task.Declared.Accelerators
	if l.fitsEmptyWorker(task, learned) {
		return learned
	}
	largest, found := l.largestCapacityFor(task)
	if !found {
		return task.Declared
	}
	return learned.Min(largest)
}

// fitsEmptyWorker reports whether a size fits on any worker of the task's failure domains
// when the worker is empty.
func (l *ledger) fitsEmptyWorker(task *Task, size Size) bool {
	return slices.ContainsFunc(l.workers, func(info *workerInfo) bool {
		return size.Within(info.worker.Capacity) && inDomains(task, info.worker)
	})
}

// largestCapacityFor returns the largest capacity, by memory first, among the workers
// that could run the declared size of a task. It returns false if there is no such
// worker.
func (l *ledger) largestCapacityFor(task *Task) (Size, bool) {
	var largest Size
	found := false
	for _, info := range l.workers {
		capacity := info.worker.Capacity
		if !inDomains(task, info.worker) || !task.Declared.Within(capacity) {
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

// remainingTime returns the run time that a task may still need.
func (l *ledger) remainingTime(task *Task) time.Duration {
	ran := task.Ran
	if task.State == TaskPlaced && !task.Since.IsZero() {
		ran += time.Duration(throttleOf(task) * float64(l.snapshot.Now.Sub(task.Since)))
	}
	declared := task.Work + task.Ran
	times, learned := l.snapshot.Estimates.(RunTimes)
	if !learned {
		return max(0, declared-ran)
	}
	return times.Remaining(task.Template, declared, ran)
}

// slack returns the time for which a task can still wait and end by its deadline. It
// returns false if the task has no deadline.
func (l *ledger) slack(task *Task) (time.Duration, bool) {
	if task.Deadline.IsZero() {
		return 0, false
	}
	return task.Deadline.Sub(l.snapshot.Now) - l.remainingTime(task), true
}

// allocationSlack returns the slack of an allocated task, which is computed once.
func (l *ledger) allocationSlack(alloc *allocation) (time.Duration, bool) {
	if !alloc.slackKnown {
		alloc.slack, _ = l.slack(alloc.task)
		alloc.slackKnown = true
	}
	return alloc.slack, !alloc.task.Deadline.IsZero()
}

// learned reports whether the estimated size of a template is learned and not a default.
func (l *ledger) learned(template string) bool {
	confidence, known := l.snapshot.Estimates.(Confidence)
	return known && confidence.Learned(template)
}

// anyOverQuota reports whether any organisation exceeds its quota.
func (l *ledger) anyOverQuota() bool {
	for organisation := range l.quotas {
		if l.borrows(organisation, Size{}) {
			return true
		}
	}
	return false
}

// borrows reports whether an organisation would exceed its quota with a size. An
// organisation without a quota never borrows.
func (l *ledger) borrows(organisation string, size Size) bool {
	limit, limited := l.quotas[organisation]
	return limited && !l.usage[organisation].Plus(size).Within(limit)
}

// spreadCounts counts the instances of each group by failure domain, rack and worker.
type spreadCounts map[spreadKey]int

// spreadKey identifies a failure domain, a rack or a worker, and a group of instances
// there. The fields of the levels below are empty.
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

// placesOf returns the keys of a worker's failure domain, its rack and the worker itself
// for a group.
func placesOf(group string, worker *Worker) [3]spreadKey {
	domain := spreadKey{group: group, domain: worker.FailureDomain}
	rack := domain
	rack.rack = worker.Rack
	single := rack
	single.worker = worker.ID
	return [3]spreadKey{domain, rack, single}
}

package placer

import (
	"cmp"
	"slices"
	"time"
)

// QueuedTask is a waiting task as orders and preemption policies see it.
type QueuedTask struct {
	// Task is the task.
	Task *Task
	// Size is the size that would be reserved for the task.
	Size Size
	// Borrowing is true if the task would exceed its organisation's quota after the tasks
	// that go before it.
	Borrowing bool
	// Reclaimable is true if any organisation exceeds its quota.
	Reclaimable bool
	// Now is the time of the decision.
	Now time.Time

	effectivePriority int
	remaining         time.Duration
	slack             time.Duration
	slackRank         int
}

func newQueuedTask(l *ledger, task *Task, reclaimable bool) *QueuedTask {
	queued := &QueuedTask{
		Task:        task,
		Size:        l.sizeFor(task),
		Reclaimable: reclaimable,
		Now:         l.snapshot.Now,
	}
	queued.effectivePriority = queued.agedPriority()
	queued.remaining = l.remainingTime(task)
	queued.slack, _ = l.slack(task)
	queued.slackRank = queued.rankSlack()
	return queued
}

// Order compares waiting tasks.
type Order interface {
	// Compare returns a negative number if a goes before b, a positive number if
	// b goes before a, and zero to leave it to the next order.
	Compare(a, b *QueuedTask) int
}

// OrderFunc is a function that implements Order.
type OrderFunc func(a, b *QueuedTask) int

// Compare implements Order.
func (f OrderFunc) Compare(a, b *QueuedTask) int {
	return f(a, b)
}

// DefaultOrders returns the orders that a Placer uses if none are set.
func DefaultOrders() []Prioritized[Order] {
	return []Prioritized[Order]{
		{Value: OrderFunc(compareUrgency), Priority: 100},
		{Value: OrderFunc(compareClass), Priority: 200},
		{Value: OrderFunc(comparePriority), Priority: 300},
		{Value: OrderFunc(compareBorrowing), Priority: 400},
		{Value: OrderFunc(compareSlack), Priority: 500},
		{Value: OrderFunc(compareSubmitted), Priority: 600},
	}
}

// agingPeriod is the waiting time that raises the priority of a batch task by one, so
// that no task starves behind more important ones.
const agingPeriod = 2 * time.Hour

// agedPriority returns the priority of a waiting task, raised by the time for which it
// has waited since its submission, its eviction or the start of its time window.
func (q *QueuedTask) agedPriority() int {
	if q.Task.Class == ClassService {
		return q.Task.Priority
	}
	since := q.Task.Since
	if since.IsZero() {
		since = q.Task.Submitted
	}
	if q.Task.NotBefore.After(since) {
		since = q.Task.NotBefore
	}
	if since.IsZero() || since.After(q.Now) {
		return q.Task.Priority
	}
	return q.Task.Priority + int(q.Now.Sub(since)/agingPeriod)
}

func compareUrgency(a, b *QueuedTask) int {
	return compareTrueFirst(a.Task.Urgent, b.Task.Urgent)
}

func compareClass(a, b *QueuedTask) int {
	return compareTrueFirst(a.Task.Class == ClassService, b.Task.Class == ClassService)
}

func comparePriority(a, b *QueuedTask) int {
	return cmp.Compare(b.effectivePriority, a.effectivePriority)
}

func compareBorrowing(a, b *QueuedTask) int {
	return compareTrueFirst(!a.Borrowing, !b.Borrowing)
}

// compareSlack puts the least slack first, then tasks without a deadline, then tasks that
// are too late for their deadline.
func compareSlack(a, b *QueuedTask) int {
	if c := cmp.Compare(a.slackRank, b.slackRank); c != 0 {
		return c
	}
	return cmp.Compare(a.slack, b.slack)
}

// rankSlack returns 0 for a task with a deadline, 1 for a task without one, and 2 for a
// task that is too late for its deadline: one that is expected to miss it by more than
// half of its remaining run time.
func (q *QueuedTask) rankSlack() int {
	if q.Task.Deadline.IsZero() {
		return 1
	}
	if q.slack < -q.remaining/2 {
		return 2
	}
	return 0
}

func compareSubmitted(a, b *QueuedTask) int {
	return a.Task.Submitted.Compare(b.Task.Submitted)
}

func compareTrueFirst(a, b bool) int {
	if a == b {
		return 0
	}
	if a {
		return -1
	}
	return 1
}

// queue returns the waiting tasks in the order in which they are placed.
func (p *Placer) queue(l *ledger) []*QueuedTask {
	var queued []*QueuedTask
	reclaimable := l.anyOverQuota()
	for i := range l.snapshot.Tasks {
		task := &l.snapshot.Tasks[i]
		if task.State == TaskWaiting && len(task.Workers) == 0 {
			queued = append(queued, newQueuedTask(l, task, reclaimable))
		}
	}
	orders := sorted(p.Orders)
	sortQueue(queued, orders)
	if markBorrowing(l, queued) {
		sortQueue(queued, orders)
	}
	return queued
}

func sortQueue(queue []*QueuedTask, orders []Order) {
	slices.SortStableFunc(queue, func(a, b *QueuedTask) int {
		for _, order := range orders {
			if c := order.Compare(a, b); c != 0 {
				return c
			}
		}
		return cmp.Compare(a.Task.ID, b.Task.ID)
	})
}

// markBorrowing marks the tasks that would exceed the quota of their organisation if all
// tasks before them started, and reports whether there are any.
func markBorrowing(l *ledger, queue []*QueuedTask) bool {
	demand := make(map[string]Size, len(l.usage))
	found := false
	for _, queued := range queue {
		if queued.Task.NotBefore.After(queued.Now) {
			continue
		}
		organisation := queued.Task.Organisation
		sum := demand[organisation].Plus(queued.Size)
		queued.Borrowing = l.borrows(organisation, sum)
		if queued.Borrowing {
			found = true
			continue
		}
		demand[organisation] = sum
	}
	return found
}

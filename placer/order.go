package placer

import (
	"cmp"
	"slices"
	"time"
)

// Waiter is a waiting task as the orders compare it.
type Waiter struct {
	// Task is the task.
	Task *Task
	// Size is what would be reserved for it.
	Size Size
	// Borrowing tells that the task would exceed its organisation's quota after
	// those that go before it.
	Borrowing bool
	// Reclaimable tells that an organisation exceeds its quota.
	Reclaimable bool
	// Now is the time of the decision.
	Now time.Time

	aged      int
	remaining time.Duration
	slack     time.Duration
	slackRank int
}

func newWaiter(l *ledger, task *Task, reclaimable bool) *Waiter {
	w := &Waiter{
		Task:        task,
		Size:        l.sizeFor(task),
		Reclaimable: reclaimable,
		Now:         l.snapshot.Now,
	}
	w.aged = w.agedPriority()
	w.remaining = l.remaining(task)
	w.slack, _ = l.slack(task)
	w.slackRank = w.rankSlack()
	return w
}

// Order compares waiting tasks.
type Order interface {
	// Compare returns a negative number if a goes before b, a positive number if
	// b goes before a, and zero to leave it to the next order.
	Compare(a, b *Waiter) int
}

// OrderFunc is an Order made of a function.
type OrderFunc func(a, b *Waiter) int

// Compare implements Order.
func (f OrderFunc) Compare(a, b *Waiter) int {
	return f(a, b)
}

// DefaultOrders returns the orders that a Placer uses when it has none set.
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

// agingPeriod is the time of waiting that raises a batch task by one priority,
// so that no task waits for ever behind more important ones.
const agingPeriod = 2 * time.Hour

// agedPriority is the priority of a waiting task, raised by the time that it has
// waited since its window began or since it was evicted.
func (w *Waiter) agedPriority() int {
	if w.Task.Class == ClassService {
		return w.Task.Priority
	}
	since := w.Task.Since
	if since.IsZero() {
		since = w.Task.Submitted
	}
	if w.Task.NotBefore.After(since) {
		since = w.Task.NotBefore
	}
	if since.IsZero() || since.After(w.Now) {
		return w.Task.Priority
	}
	return w.Task.Priority + int(w.Now.Sub(since)/agingPeriod)
}

func compareUrgency(a, b *Waiter) int {
	return compareTrueFirst(a.Task.Urgent, b.Task.Urgent)
}

func compareClass(a, b *Waiter) int {
	return compareTrueFirst(a.Task.Class == ClassService, b.Task.Class == ClassService)
}

func comparePriority(a, b *Waiter) int {
	return cmp.Compare(b.aged, a.aged)
}

func compareBorrowing(a, b *Waiter) int {
	return compareTrueFirst(!a.Borrowing, !b.Borrowing)
}

// compareSlack puts the least slack first, then tasks without a deadline, then
// those that can no longer meet theirs.
func compareSlack(a, b *Waiter) int {
	if c := cmp.Compare(a.slackRank, b.slackRank); c != 0 {
		return c
	}
	return cmp.Compare(a.slack, b.slack)
}

// rankSlack puts a task among those with a deadline, without one, or too late for
// theirs.
func (w *Waiter) rankSlack() int {
	if w.Task.Deadline.IsZero() {
		return 1
	}
	if w.slack < -w.remaining/2 {
		return 2
	}
	return 0
}

func compareSubmitted(a, b *Waiter) int {
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

// queue returns the waiting tasks in the order in which they are served.
func (p *Placer) queue(l *ledger) []*Waiter {
	var waiters []*Waiter
	reclaimable := l.reclaimable()
	for i := range l.snapshot.Tasks {
		task := &l.snapshot.Tasks[i]
		if task.State == TaskWaiting && len(task.Workers) == 0 {
			waiters = append(waiters, newWaiter(l, task, reclaimable))
		}
	}
	orders := sorted(p.Orders)
	sortWaiters(waiters, orders)
	if markBorrowing(l, waiters) {
		sortWaiters(waiters, orders)
	}
	return waiters
}

func sortWaiters(waiters []*Waiter, orders []Order) {
	slices.SortStableFunc(waiters, func(a, b *Waiter) int {
		for _, order := range orders {
			if c := order.Compare(a, b); c != 0 {
				return c
			}
		}
		return cmp.Compare(a.Task.ID, b.Task.ID)
	})
}

// markBorrowing marks the waiters that exceed the quota of their organisation
// if all before them start, and reports whether there are any.
func markBorrowing(l *ledger, waiters []*Waiter) bool {
	demand := make(map[string]Size, len(l.use))
	found := false
	for _, w := range waiters {
		if w.Task.NotBefore.After(w.Now) {
			continue
		}
		organisation := w.Task.Organisation
		sum := demand[organisation].Plus(w.Size)
		w.Borrowing = l.borrows(organisation, sum)
		if w.Borrowing {
			found = true
			continue
		}
		demand[organisation] = sum
	}
	return found
}

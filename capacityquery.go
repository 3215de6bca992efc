package zinniashore

import (
	"context"
	"maps"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"zinniashore.example/claimer"
	"zinniashore.example/dispatcher"
	"zinniashore.example/relayer"
)

const (
	// capacityQueryTimeout bounds a query of a cell's free capacity.
	capacityQueryTimeout = 150 * time.Millisecond
	// maxCapacityQueries is how many queries of this process a holder may leave unanswered at a
	// time. A holder that is behind gets no more.
	maxCapacityQueries = 3
)

// capacityQueries asks the holders of cells for the free capacity of the cells.
type capacityQueries struct {
	claimer   *claimer.Claimer
	heldCells cellRunners
	peers     *relayer.Client

	mu sync.Mutex
	// unanswered counts the queries without an answer by the address of the holder.
	unanswered map[string]int
}

// ask returns the free capacity of the cells whose holders answer within patience. It returns
// as soon as all have answered, or ctx ends.
func (q *capacityQueries) ask(ctx context.Context, cells map[string]claimer.Holder, patience time.Duration, service string, id dispatcher.StepID, step dispatcher.Step) map[string]dispatcher.FreeCapacity {
	answers := make(chan capacityAnswer, len(cells))
	awaited := 0
	for cell, holder := range cells {
		if runner := q.heldCells.Runner(cell); runner != nil {
			answers <- capacityAnswer{cell: cell, free: runner.FreeCapacity(service, id, step)}
			awaited++
		} else if q.begin(holder.Address) {
			go func() { answers <- q.query(ctx, cell, holder, service, id, step) }()
			awaited++
		}
	}
	limit := time.NewTimer(patience)
	defer limit.Stop()
	found := map[string]dispatcher.FreeCapacity{}
	for range awaited {
		select {
		case answer := <-answers:
			if answer.err == nil {
				found[answer.cell] = answer.free
			}
		case <-limit.C:
			return found
		case <-ctx.Done():
			return found
		}
	}
	return found
}

// askAll does the same as ask, for all cells.
func (q *capacityQueries) askAll(ctx context.Context, patience time.Duration, service string, id dispatcher.StepID, step dispatcher.Step) map[string]dispatcher.FreeCapacity {
	return q.ask(ctx, q.claimer.Cells(), patience, service, id, step)
}

// capacityAnswer is the free capacity of a cell, or the error that prevented the answer.
type capacityAnswer struct {
	cell string
	free dispatcher.FreeCapacity
	err  error
}

// query sends a query. It outlasts the caller, since a call that is given up early would
// close the connection to the holder.
func (q *capacityQueries) query(ctx context.Context, cell string, holder claimer.Holder, service string, id dispatcher.StepID, step dispatcher.Step) capacityAnswer {
	defer q.end(holder.Address)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), capacityQueryTimeout)
	defer cancel()
	free, err := q.peers.FreeCapacity(ctx, holder.Address, cell, service, id, step)
	if err != nil {
		klog.V(1).InfoS("Reading the free capacity of a cell failed", "cell", cell, "err", err)
	}
	return capacityAnswer{cell: cell, free: free, err: err}
}

// begin counts a query to a holder. It reports false if too many have no answer yet.
func (q *capacityQueries) begin(address string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.unanswered == nil {
		q.unanswered = map[string]int{}
	}
	if q.unanswered[address] >= maxCapacityQueries {
		return false
	}
	q.unanswered[address]++
	return true
}

func (q *capacityQueries) end(address string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unanswered[address]--
	maps.DeleteFunc(q.unanswered, func(_ string, count int) bool { return count <= 0 })
}

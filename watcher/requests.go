package watcher

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/platform"
)

// maxLateAnswer is how long after the time that a watch request waits its answer is still taken. Meanwhile the next
// requests are sent, as the connection of the first one may be silent for good.
const maxLateAnswer = 4 * time.Second

// errNoAnswer reports a watch request that got no answer in time. It is still in progress.
var errNoAnswer = errors.New("watch: no answer in time")

// answer is the answer to a watch request.
type answer struct {
	// number is that of the request, which was sent at sent.
	number int
	sent   time.Time
	events []platform.Event
	// next is the revision from which to continue.
	next int64
	err  error
}

// requests are the watch requests in progress after one revision. The first answer to any of them counts.
type requests struct {
	watcher  *Watcher
	revision int64
	// newest is the number of the request that was sent last.
	newest  int
	answers chan answer
	// limit returns the context of a request that may take a time, end ends those of all requests.
	limit func(time.Duration) (context.Context, context.CancelFunc)
	end   context.CancelFunc
}

// newRequests returns requests for the changes after a revision; there are none yet. They end with ctx.
func newRequests(ctx context.Context, w *Watcher, revision int64) *requests {
	ctx, end := context.WithCancel(ctx)
	limit := func(d time.Duration) (context.Context, context.CancelFunc) {
		return clockwork.WithTimeout(ctx, w.Clock, d)
	}
	return &requests{watcher: w, revision: revision, answers: make(chan answer), limit: limit, end: end}
}

// send sends one more request.
func (r *requests) send(wait time.Duration) {
	w := r.watcher
	r.newest++
	a := answer{number: r.newest, sent: w.Clock.Now()}
	ctx, end := r.limit(wait + maxLateAnswer)
	go func() {
		defer end()
		a.events, a.next, a.err = w.Store.Watch(ctx, w.Prefix, r.revision, wait)
		select {
		case r.answers <- a:
		case <-ctx.Done():
		}
	}()
}

// receive returns the first answer. It returns the error of the newest request, or errNoAnswer after a time, and leaves
// the others in progress.
func (r *requests) receive(ctx context.Context, limit time.Duration) (answer, error) {
	timeout := r.watcher.Clock.After(limit)
	for {
		select {
		case <-ctx.Done():
			return answer{}, ctx.Err()
		case <-timeout:
			return answer{}, errNoAnswer
		case a := <-r.answers:
			if a.err == nil || a.number == r.newest || errors.Is(a.err, platform.ErrCompacted) {
				return a, a.err
			}
		}
	}
}

// endAll ends the requests in progress, if there are any.
func (r *requests) endAll() {
	if r != nil {
		r.end()
	}
}

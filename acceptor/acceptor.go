// Package acceptor answers the clients that submit jobs, ask for their state
// and cancel them. A job is in the store before it is called accepted.
package acceptor

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
)

const (
	defaultTimeout = 3 * time.Second
	// answerMargin is kept of a client's patience for the way back.
	answerMargin = 150 * time.Millisecond
	// retryAfter is when a refused client may come back, in seconds.
	retryAfter          = "1"
	defaultMaxBodyBytes = 256 << 10
	idLength            = 16
)

// Queues gives the configuration in force.
type Queues interface {
	// Configuration returns it, and false before the first one is known.
	Configuration() (platform.Configuration, bool)
}

// Desk answers about accepted jobs, wherever they are.
type Desk interface {
	// Cell returns the cell that a new job goes to.
	Cell(ctx context.Context, job *dispatcher.Job) string
	// Deliver hands an accepted job to its cell.
	Deliver(job dispatcher.Job, record []byte, cell string)
	// State returns a job's state; ErrUnknown if none was accepted.
	State(ctx context.Context, id string) (dispatcher.State, error)
	// Cancel cancels a job; ErrUnknown if none was accepted.
	Cancel(ctx context.Context, id string) error
	// Pending counts the jobs of a queue without a started task.
	Pending(ctx context.Context, queue string) (int, error)
}

// ErrUnknown reports a job that was never accepted.
var ErrUnknown = errors.New("no such job was accepted")

// Acceptor answers clients. Its exported fields are set before Run.
type Acceptor struct {
	Clock  clockwork.Clock
	Queues Queues
	Desk   Desk
	// Intake stores the jobs.
	Intake *Intake
	// StoreReached reports whether the store answers. While it doesn't, a job is
	// refused before anything is sent that may be carried out later.
	StoreReached func() bool

	inFlight atomic.Int64
}

// InFlight returns how many calls are being answered.
func (a *Acceptor) InFlight() int64 { return a.inFlight.Load() }

// ServeHTTP implements http.Handler for all paths, by the queues configured.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	configuration, known := a.Queues.Configuration()
	if !known {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	queue, rest, found := match(configuration.Queues, q)
	if !found {
		http.Error(w, "no such queue", http.StatusNotFound)
		return
	}
	patience := platform.ClientTimeout(q, max(queue.Timeout, defaultTimeout))
	ctx, cancel := context.WithTimeout(q.Context(), max(patience-answerMargin, answerMargin))
	defer cancel()
	switch {
	case rest == "" && q.Method == http.MethodGet:
		a.pending(ctx, w, queue)
	case !validID(rest):
		http.Error(w, "the job's id must be 16 hexadecimal digits", http.StatusNotFound)
	case q.Method == http.MethodPost && !a.StoreReached():
		klog.InfoS("Job refused: the store can't be reached", "job", rest, "queue", queue.Name)
		refuse(w, http.StatusServiceUnavailable)
	case q.Method == http.MethodPost:
		a.submit(ctx, w, q, queue, rest, configuration.MaxBodyBytes)
	case q.Method == http.MethodGet:
		a.state(ctx, w, rest)
	case q.Method == http.MethodDelete:
		a.cancel(ctx, w, rest)
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

// match returns the queue with the longest prefix of the call's path, and the
// rest of the path.
func match(queues []dispatcher.Queue, q *http.Request) (dispatcher.Queue, string, bool) {
	host := q.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	var best dispatcher.Queue
	found := false
	for _, queue := range queues {
		if strings.EqualFold(queue.Host, host) && strings.HasPrefix(q.URL.Path, queue.Prefix) &&
			(!found || len(queue.Prefix) > len(best.Prefix)) {
			best, found = queue, true
		}
	}
	return best, strings.TrimPrefix(q.URL.Path, best.Prefix), found
}

func validID(id string) bool {
	if len(id) != idLength {
		return false
	}
	for _, r := range id {
		if !strings.ContainsRune("0123456789abcdefABCDEF", r) {
			return false
		}
	}
	return true
}

// refuse answers a call that was not carried out, and says when to come back.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Retry-After", retryAfter)
	http.Error(w, "not carried out", status)
}

func (a *Acceptor) submit(ctx context.Context, w http.ResponseWriter, q *http.Request, queue dispatcher.Queue, id string, maxBytes int64) {
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	job, err := platform.DecodeJob(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	job.ID = id
	job.Queue = queue
	job.Accepted = a.Clock.Now()
	a.accept(ctx, w, job)
}

func (a *Acceptor) accept(ctx context.Context, w http.ResponseWriter, job dispatcher.Job) {
	record, err := dispatcher.EncodeJob(job)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	cell := a.Desk.Cell(ctx, &job)
	outcome := a.Intake.Accept(ctx, job.ID, cell, record)
	klog.InfoS("Job submitted", "job", job.ID, "queue", job.Queue.Name, "cell", cell, "outcome", outcome,
		"took", a.Clock.Now().Sub(job.Accepted))
	switch outcome {
	case OutcomeAccepted:
		a.Desk.Deliver(job, record, cell)
		answer(w, dispatcher.StateQueued)
	case OutcomeExists:
		answer(w, dispatcher.StateQueued)
	case OutcomeRefused:
		refuse(w, http.StatusServiceUnavailable)
	default:
		http.Error(w, "it is not known whether the job was accepted", http.StatusGatewayTimeout)
	}
}

func answer(w http.ResponseWriter, state dispatcher.State) {
	content, err := platform.EncodeState(state)
	respond(w, content, err)
}

func respond(w http.ResponseWriter, content []byte, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	if _, err := w.Write(content); err != nil {
		klog.V(1).InfoS("Answer not delivered", "err", err)
	}
}

func (a *Acceptor) state(ctx context.Context, w http.ResponseWriter, id string) {
	state, err := a.Desk.State(ctx, id)
	switch {
	case errors.Is(err, ErrUnknown):
		http.Error(w, err.Error(), http.StatusGone)
	case err != nil:
		klog.InfoS("State not known", "job", id, "err", err)
		refuse(w, http.StatusServiceUnavailable)
	default:
		answer(w, state)
	}
}

func (a *Acceptor) cancel(ctx context.Context, w http.ResponseWriter, id string) {
	err := a.Desk.Cancel(ctx, id)
	switch {
	case errors.Is(err, ErrUnknown):
		http.Error(w, err.Error(), http.StatusGone)
	case err != nil:
		klog.InfoS("Job not cancelled", "job", id, "err", err)
		refuse(w, http.StatusServiceUnavailable)
	default:
		answer(w, dispatcher.StateCancelled)
	}
}

func (a *Acceptor) pending(ctx context.Context, w http.ResponseWriter, queue dispatcher.Queue) {
	count, err := a.Desk.Pending(ctx, queue.Name)
	if err != nil {
		klog.InfoS("Waiting jobs not counted", "queue", queue.Name, "err", err)
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	content, err := platform.EncodePending(count)
	respond(w, content, err)
}

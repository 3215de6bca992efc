// Package acceptor serves the HTTP API through which clients submit jobs, read their
// state and cancel them. A job is stored before its acceptance is acknowledged.
package acceptor

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"zinniashore.example/dispatcher"
	"zinniashore.example/logger"
	"zinniashore.example/platform"
	"zinniashore.example/throttler"
)

const (
	defaultTimeout = 3 * time.Second
	// answerMargin is the part of a client's timeout that is reserved for the
	// response to reach the client.
	answerMargin = 150 * time.Millisecond
	// retryAfter is the Retry-After header of a refusal, in seconds.
	retryAfter          = "1"
	defaultMaxBodyBytes = 256 << 10
	idLength            = 16
)

// ConfigurationSource provides the current configuration.
type ConfigurationSource interface {
	// Configuration returns the current configuration, or false if none has been
	// read yet.
	Configuration() (platform.Configuration, bool)
	// Age returns how long ago the store last answered whether the configuration has
	// changed.
	Age() time.Duration
}

// JobService handles requests about accepted jobs of all cells, whichever process holds
// the cell.
type JobService interface {
	// Cell returns the cell that is to run a new job.
	Cell(ctx context.Context, job *dispatcher.Job) string
	// Deliver sends an accepted job to the holder of its cell.
	Deliver(job dispatcher.Job, record []byte, cell string)
	// State returns the state of a job, or ErrUnknown if it was never accepted.
	State(ctx context.Context, id string) (dispatcher.State, error)
	// Cancel cancels a job. It returns ErrUnknown if the job was never accepted, and won't be by
	// any submission that is still under way.
	Cancel(ctx context.Context, id string) error
	// Pending returns the number of jobs of a queue without a started task.
	Pending(ctx context.Context, queue string) (int, error)
}

// ErrUnknown reports a job that was never accepted.
var ErrUnknown = errors.New("no such job was accepted")

// Acceptor is the HTTP handler of the job API. Its exported fields are set before the
// first request.
type Acceptor struct {
	Clock          clockwork.Clock
	Configurations ConfigurationSource
	Jobs           JobService
	// Intake stores submitted jobs.
	Intake *Intake
	// StoreReached reports whether the store can be reached. While it can't, a job
	// is refused before a write is sent to the store, which could commit later.
	StoreReached func() bool
	// Serving, if set, ends when the requests in progress must be answered at once, since the
	// process is about to exit.
	Serving context.Context

	inFlight atomic.Int64
	// refusals limits the log lines about unknown queues; refusalLimiter returns it.
	refusals     *logger.Limiter
	refusalsOnce sync.Once
}

// InFlight returns the number of requests in progress.
func (a *Acceptor) InFlight() int64 { return a.inFlight.Load() }

// ServeHTTP implements http.Handler for all paths. The configured queues determine the
// valid paths.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	configuration, known := a.Configurations.Configuration()
	if !known {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	queue, rest, found := matchQueue(configuration.Queues, request)
	if !found {
		a.refuseUnknownQueue(w, request, configuration)
		return
	}
	timeout := platform.ClientTimeout(request, max(queue.Timeout, defaultTimeout))
	ctx, cancel := context.WithTimeout(request.Context(), max(timeout-answerMargin, answerMargin))
	defer cancel()
	if a.Serving != nil {
		defer context.AfterFunc(a.Serving, cancel)()
	}
	switch {
	case rest == "" && request.Method == http.MethodGet:
		a.pending(ctx, w, queue)
	case !validID(rest):
		http.Error(w, "the job's id must be 16 hexadecimal digits", http.StatusNotFound)
	case request.Method == http.MethodPost && a.exits():
		klog.InfoS("Job refused because the process exits", "job", rest, "queue", queue.Name)
		refuse(w, http.StatusServiceUnavailable)
	case request.Method == http.MethodPost && !a.StoreReached():
		klog.InfoS("Job refused because the store is unreachable", "job", rest, "queue", queue.Name)
		refuse(w, http.StatusServiceUnavailable)
	case request.Method == http.MethodPost:
		a.submit(ctx, w, request, queue, rest, configuration.MaxBodyBytes)
	case request.Method == http.MethodGet:
		a.state(ctx, w, rest)
	case request.Method == http.MethodDelete:
		a.cancel(ctx, w, rest)
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

// exits reports whether requests in progress must be answered at once.
func (a *Acceptor) exits() bool { return a.Serving != nil && a.Serving.Err() != nil }

// matchQueue returns the queue of the request's host with the longest prefix of the
// request's path, and the rest of the path.
func matchQueue(queues []dispatcher.Queue, request *http.Request) (dispatcher.Queue, string, bool) {
	host := request.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	var best dispatcher.Queue
	found := false
	for _, queue := range queues {
		if strings.EqualFold(queue.Host, host) && strings.HasPrefix(request.URL.Path, queue.Prefix) &&
			(!found || len(queue.Prefix) > len(best.Prefix)) {
			best, found = queue, true
		}
	}
	return best, strings.TrimPrefix(request.URL.Path, best.Prefix), found
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

// refuse answers a request that was not carried out, with a Retry-After header.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Retry-After", retryAfter)
	http.Error(w, "not carried out", status)
}

func (a *Acceptor) submit(ctx context.Context, w http.ResponseWriter, request *http.Request, queue dispatcher.Queue, id string, maxBytes int64) {
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		refuseBody(w, err)
		return
	}
	job, err := decodeJob(request, body)
	if err != nil {
		refuseBody(w, err)
		return
	}
	job.ID = id
	job.Queue = queue
	job.Accepted = a.Clock.Now()
	a.accept(ctx, w, job)
}

// decodeJob decodes a body once the request has taken the memory for it.
func decodeJob(request *http.Request, body []byte) (dispatcher.Job, error) {
	bytes, err := platform.MeasureJob(body)
	if err != nil {
		return dispatcher.Job{}, err
	}
	if err := throttler.Reserve(request, bytes); err != nil {
		return dispatcher.Job{}, err
	}
	return platform.DecodeJob(body)
}

// refuseBody answers a request whose body wasn't read or decoded.
func refuseBody(w http.ResponseWriter, err error) {
	var refused *throttler.RefusedError
	switch {
	case errors.As(err, &refused):
		refuse(w, http.StatusServiceUnavailable)
	case errors.Is(err, os.ErrDeadlineExceeded):
		http.Error(w, "the body arrived too slowly", http.StatusRequestTimeout)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (a *Acceptor) accept(ctx context.Context, w http.ResponseWriter, job dispatcher.Job) {
	record, err := dispatcher.EncodeJob(job)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	cell := a.Jobs.Cell(ctx, &job)
	outcome := a.Intake.Accept(ctx, job.ID, cell, record)
	klog.InfoS("Job submitted", "job", job.ID, "queue", job.Queue.Name, "cell", cell, "outcome", outcome,
		"took", a.Clock.Now().Sub(job.Accepted))
	switch outcome {
	case OutcomeAccepted:
		a.Jobs.Deliver(job, record, cell)
		writeState(w, dispatcher.StateQueued)
	case OutcomeExists:
		writeState(w, dispatcher.StateQueued)
	case OutcomeRefused:
		refuse(w, http.StatusServiceUnavailable)
	case OutcomeCancelled:
		http.Error(w, "not carried out: the job was cancelled before", http.StatusServiceUnavailable)
	default:
		http.Error(w, "it is not known whether the job was accepted", http.StatusGatewayTimeout)
	}
}

func writeState(w http.ResponseWriter, state dispatcher.State) {
	content, err := platform.EncodeState(state)
	writeJSON(w, content, err)
}

func writeJSON(w http.ResponseWriter, content []byte, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	if _, err := w.Write(content); err != nil {
		klog.V(1).InfoS("Writing the response failed", "err", err)
	}
}

func (a *Acceptor) state(ctx context.Context, w http.ResponseWriter, id string) {
	state, err := a.Jobs.State(ctx, id)
	switch {
	case errors.Is(err, ErrUnknown):
		http.Error(w, err.Error(), http.StatusGone)
	case err != nil:
		klog.InfoS("Reading the state of a job failed", "job", id, "err", err)
		refuse(w, http.StatusServiceUnavailable)
	default:
		writeState(w, state)
	}
}

func (a *Acceptor) cancel(ctx context.Context, w http.ResponseWriter, id string) {
	err := a.Jobs.Cancel(ctx, id)
	switch {
	case errors.Is(err, ErrUnknown):
		http.Error(w, err.Error(), http.StatusGone)
	case err != nil:
		klog.InfoS("Cancelling a job failed", "job", id, "err", err)
		refuse(w, http.StatusServiceUnavailable)
	default:
		writeState(w, dispatcher.StateCancelled)
	}
}

func (a *Acceptor) pending(ctx context.Context, w http.ResponseWriter, queue dispatcher.Queue) {
	count, err := a.Jobs.Pending(ctx, queue.Name)
	if err != nil {
		klog.InfoS("Counting pending jobs failed", "queue", queue.Name, "err", err)
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	content, err := platform.EncodePending(count)
	writeJSON(w, content, err)
}

// Package administrator implements the administration API of an entry VM and its
// client. The API is described in docs/ADMIN.md. The command line uses no other
// interface.
package administrator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/zeromicro/go-zero/rest"
	"k8s.io/klog/v2"

	"zinniashore.example/configurer"
	"zinniashore.example/evacuator"
	"zinniashore.example/keeper"
	"zinniashore.example/recorder"
	"zinniashore.example/submitter"
	"zinniashore.example/throttler"
)

const (
	pathPrefix = "/v1/admin"

	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 1 << 20
	// retryAfter is the Retry-After header of a refusal, in seconds.
	retryAfter = "1"
)

// Configurer changes and shows the configuration.
type Configurer interface {
	// Apply commits a change and waits until it is in force.
	Apply(ctx context.Context, change configurer.Change) (configurer.Result, error)
	// Outcome returns the result of a change, and whether the change was found.
	Outcome(ctx context.Context, id string) (configurer.Result, bool, error)
	// Preview returns the effects that a change would have.
	Preview(change configurer.Change) configurer.Preview
	// Document returns the templates and parameter values in force.
	Document() configurer.Document
	// Current returns the configuration in force.
	Current() configurer.Configuration
	// Members returns the processes that may run a configuration.
	Members(ctx context.Context) ([]configurer.Member, error)
	// Release records that an entry VM is gone for good.
	Release(ctx context.Context, vm, operator string) error
}

// Submitter stores the records of batch jobs.
type Submitter interface {
	// Submit records a job.
	Submit(ctx context.Context, job submitter.Job) (submitter.Job, error)
	// Cancel records that a job must be stopped.
	Cancel(ctx context.Context, organisation, name string) (submitter.Job, error)
	// Get returns a job.
	Get(ctx context.Context, organisation, name string) (submitter.Job, error)
	// List returns the jobs of an organisation, or all jobs if organisation is empty.
	List(ctx context.Context, organisation string) ([]submitter.Job, error)
}

// Cells assigns jobs to cells.
type Cells interface {
	// Choose returns the cell that will run the job.
	Choose(job submitter.Job) (string, error)
}

// TimeLine provides the merged time line of all processes.
type TimeLine interface {
	// Collect returns the events that match the filter.
	Collect(ctx context.Context, filter recorder.Filter) recorder.TimeLine
}

// Administrator serves the administration API. Its exported fields must be set before
// Routes is called.
type Administrator struct {
	// Clock is the clock by which the time windows of jobs are computed.
	Clock clockwork.Clock
	// Configurer changes and shows the configuration.
	Configurer Configurer
	// Submitter stores the jobs.
	Submitter Submitter
	// Cells assigns jobs to cells.
	Cells Cells
	// Evacuator records evacuations.
	Evacuator Evacuator
	// Status reports the state of this process and its cells.
	Status Reporter
	// TimeLine provides the merged time line.
	TimeLine TimeLine
	// Peers are the other entry VMs. It may be nil.
	Peers Peers
	// FailureDomains are all failure domains.
	FailureDomains []string
	// Tokens are the tokens that authenticate callers.
	Tokens Tokens

	once          sync.Once
	authenticator *authenticator
}

// call is an authenticated request.
type call struct {
	*http.Request

	principal principal
}

// answer is the status code and body of a response.
type answer struct {
	code    int
	message any
}

// Routes returns the routes of the API.
func (a *Administrator) Routes() []rest.Route {
	handlers := []struct {
		method string
		path   string
		handle func(c call) answer
	}{
		{method: http.MethodPost, path: "/changes", handle: a.postChange},
		{method: http.MethodGet, path: "/changes/:id", handle: a.getChange},
		{method: http.MethodGet, path: "/configuration", handle: a.getConfiguration},
		{method: http.MethodPost, path: "/jobs", handle: a.postJob},
		{method: http.MethodGet, path: "/jobs", handle: a.getJobs},
		{method: http.MethodGet, path: "/jobs/:organisation/:name", handle: a.getJob},
		{method: http.MethodPost, path: "/jobs/:organisation/:name/cancel", handle: a.cancelJob},
		{method: http.MethodGet, path: "/status", handle: a.getStatus},
		{method: http.MethodGet, path: "/timeline", handle: a.getTimeLine},
		{method: http.MethodPost, path: "/vms/:vm/release", handle: a.releaseVM},
		{method: http.MethodPost, path: "/failure_domains/:domain/evacuate", handle: a.beginEvacuation},
		{method: http.MethodPost, path: "/failure_domains/:domain/take_back", handle: a.endEvacuation},
	}
	var routes []rest.Route
	for _, h := range handlers {
		routes = append(routes, rest.Route{Method: h.method, Path: pathPrefix + h.path, Handler: a.authenticated(h.handle)})
	}
	return routes
}

// authenticated returns a handler that authenticates the request, limits its rate and
// the size of its body, and writes the answer of handle.
func (a *Administrator) authenticated(handle func(c call) answer) http.HandlerFunc {
	a.once.Do(func() { a.authenticator = &authenticator{tokens: a.Tokens} })
	return func(w http.ResponseWriter, r *http.Request) {
		p, known := a.authenticator.authenticate(r)
		if !a.authenticator.allow(p) {
			writeAnswer(w, failureAnswer(http.StatusTooManyRequests, CodeRate, "too many calls", true))
			return
		}
		if !known {
			writeAnswer(w, failureAnswer(http.StatusUnauthorized, CodeToken, "no valid token", true))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		writeAnswer(w, handle(call{Request: r, principal: p}))
	}
}

func writeAnswer(w http.ResponseWriter, a answer) {
	w.Header().Set("Content-Type", "application/json")
	if failure, failed := a.message.(ErrorMessage); failed && failure.NotDone && a.code == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(a.code)
	if err := json.NewEncoder(w).Encode(a.message); err != nil {
		klog.V(1).InfoS("Failed to write the response of an administration call", "err", err)
	}
}

// readBody decodes the body and rejects unknown fields and trailing values. If the body
// is malformed, it returns the answer to send and false.
func (c call) readBody(message any) (answer, bool) {
	decoder := json.NewDecoder(c.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(message)
	if err == nil {
		_, err = decoder.Token()
		if errors.Is(err, io.EOF) {
			return answer{}, true
		}
		err = errors.New("more than one value")
	}
	var refused *throttler.RefusedError
	if errors.As(err, &refused) {
		return failureAnswer(http.StatusServiceUnavailable, CodeUnavailable, err.Error(), true), false
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return failureAnswer(http.StatusRequestEntityTooLarge, CodeBody, err.Error(), true), false
	}
	return failureAnswer(http.StatusBadRequest, CodeBody, "body: "+err.Error(), true), false
}

func failureAnswer(code int, name Code, text string, notDone bool) answer {
	return answer{code: code, message: ErrorMessage{Code: name, Message: text, NotDone: notDone}}
}

func forbiddenAnswer() answer {
	return failureAnswer(http.StatusForbidden, CodeForbidden, "the token does not allow this", true)
}

// errorAnswer returns the answer for an error of the store, a job or a release.
func errorAnswer(err error) answer {
	var unavailable *keeper.UnavailableError
	var invalid *submitter.InvalidError
	var conflict *submitter.ConflictError
	var notFound *submitter.NotFoundError
	var unknown *configurer.UnknownVMError
	var unknownDomain *evacuator.UnknownDomainError
	var alive *configurer.AliveError
	switch {
	case errors.As(err, &invalid):
		return failureAnswer(http.StatusUnprocessableEntity, CodeRejected, err.Error(), true)
	case errors.As(err, &conflict), errors.As(err, &alive):
		return failureAnswer(http.StatusConflict, CodeConflict, err.Error(), true)
	case errors.As(err, &notFound), errors.As(err, &unknown), errors.As(err, &unknownDomain):
		return failureAnswer(http.StatusNotFound, CodeNotFound, err.Error(), true)
	case errors.As(err, &unavailable):
		return failureAnswer(http.StatusServiceUnavailable, CodeUnavailable, err.Error(), true)
	}
	return failureAnswer(http.StatusServiceUnavailable, CodeUnclear, err.Error(), false)
}

// Package administrator serves the administration API of an entry VM and calls
// it. The API is described in docs/ADMIN.md; the command line uses nothing else.
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
	"zinniashore.example/keeper"
	"zinniashore.example/recorder"
	"zinniashore.example/submitter"
)

const (
	pathPrefix = "/v1/admin"

	// maxBodyBytes is the largest body that a call may have.
	maxBodyBytes = 1 << 20
)

// Configurer changes and shows the configuration.
type Configurer interface {
	// Apply commits a change and waits for it to be in force.
	Apply(ctx context.Context, change configurer.Change) (configurer.Result, error)
	// Outcome returns what became of a change.
	Outcome(ctx context.Context, id string) (configurer.Result, bool, error)
	// Preview tells what a change would do.
	Preview(change configurer.Change) configurer.Preview
	// Document returns the templates and parameter values in force.
	Document() configurer.Document
	// Current returns the configuration in force.
	Current() configurer.Configuration
	// Members returns the processes that may run a configuration.
	Members(ctx context.Context) ([]configurer.Member, error)
	// Release declares an entry VM gone.
	Release(ctx context.Context, vm, operator string) error
}

// Submitter keeps the records of batch jobs.
type Submitter interface {
	// Submit records a job.
	Submit(ctx context.Context, job submitter.Job) (submitter.Job, error)
	// Cancel records that a job is to be stopped.
	Cancel(ctx context.Context, organisation, name string) (submitter.Job, error)
	// Get returns a job.
	Get(ctx context.Context, organisation, name string) (submitter.Job, error)
	// List returns the jobs of an organisation, or of all if it is empty.
	List(ctx context.Context, organisation string) ([]submitter.Job, error)
}

// Cells chooses where a job runs.
type Cells interface {
	// Choose returns the cell that is to run the job.
	Choose(job submitter.Job) (string, error)
}

// TimeLine gives the merged time line.
type TimeLine interface {
	// Collect returns the events that pass the filter.
	Collect(ctx context.Context, filter recorder.Filter) recorder.TimeLine
}

// Administrator serves the administration API. Its exported fields are set
// before Routes.
type Administrator struct {
	// Clock tells the time, for time windows.
	Clock clockwork.Clock
	// Configurer changes the configuration.
	Configurer Configurer
	// Submitter keeps the jobs.
	Submitter Submitter
	// Cells chooses where jobs run.
	Cells Cells
	// Status tells the state of this process and its cells.
	Status Reporter
	// TimeLine gives the time line.
	TimeLine TimeLine
	// Peers are the other entry VMs. It may be nil.
	Peers Peers
	// FailureDomains are all failure domains.
	FailureDomains []string
	// Tokens are who may call.
	Tokens Tokens

	once          sync.Once
	authenticator *authenticator
}

// call is one authenticated call.
type call struct {
	*http.Request

	principal principal
}

// answer is the status code and message of an answer.
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
	}
	var routes []rest.Route
	for _, h := range handlers {
		routes = append(routes, rest.Route{Method: h.method, Path: pathPrefix + h.path, Handler: a.guard(h.handle)})
	}
	return routes
}

// guard authenticates a call, bounds its body and its rate, and writes the
// answer.
func (a *Administrator) guard(handle func(c call) answer) http.HandlerFunc {
	a.once.Do(func() { a.authenticator = &authenticator{tokens: a.Tokens} })
	return func(w http.ResponseWriter, r *http.Request) {
		p, known := a.authenticator.authenticate(r)
		if !a.authenticator.allow(p) {
			write(w, failure(http.StatusTooManyRequests, CodeRate, "too many calls", true))
			return
		}
		if !known {
			write(w, failure(http.StatusUnauthorized, CodeToken, "no valid token", true))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		write(w, handle(call{Request: r, principal: p}))
	}
}

func write(w http.ResponseWriter, a answer) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.code)
	if err := json.NewEncoder(w).Encode(a.message); err != nil {
		klog.V(1).InfoS("Answer was not written", "err", err)
	}
}

// read reads the body strictly. It returns the answer for a malformed one.
func (c call) read(message any) (answer, bool) {
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
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return failure(http.StatusRequestEntityTooLarge, CodeBody, err.Error(), true), false
	}
	return failure(http.StatusBadRequest, CodeBody, "body: "+err.Error(), true), false
}

func failure(code int, name Code, text string, notDone bool) answer {
	return answer{code: code, message: ErrorMessage{Code: name, Message: text, NotDone: notDone}}
}

func forbidden() answer {
	return failure(http.StatusForbidden, CodeForbidden, "the token does not allow this", true)
}

// failed returns the answer for an error of the store or of a job.
func failed(err error) answer {
	var unavailable *keeper.UnavailableError
	var invalid *submitter.InvalidError
	var conflict *submitter.ConflictError
	var notFound *submitter.NotFoundError
	var unknown *configurer.UnknownVMError
	var alive *configurer.AliveError
	switch {
	case errors.As(err, &invalid):
		return failure(http.StatusUnprocessableEntity, CodeRejected, err.Error(), true)
	case errors.As(err, &conflict), errors.As(err, &alive):
		return failure(http.StatusConflict, CodeConflict, err.Error(), true)
	case errors.As(err, &notFound), errors.As(err, &unknown):
		return failure(http.StatusNotFound, CodeNotFound, err.Error(), true)
	case errors.As(err, &unavailable):
		return failure(http.StatusServiceUnavailable, CodeUnavailable, err.Error(), true)
	}
	return failure(http.StatusServiceUnavailable, CodeUnclear, err.Error(), false)
}

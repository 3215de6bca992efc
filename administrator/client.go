package administrator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"zinniashore.example/recorder"
)

const (
	clientService     = "administration"
	clientTimeout     = 30 * time.Second
	clientDialTimeout = 2 * time.Second
	maxAnswerBytes    = 64 << 20
)

// Client calls the administration API of an entry VM.
type Client struct {
	// Server is the IP address and port of the entry VM's administration API.
	Server string
	// Token is the secret that authenticates the caller.
	Token Secret

	service httpc.Service
}

// NewClient returns a Client for the entry VM at the given IP address and port.
func NewClient(server string, token Secret) *Client {
	breaker.NoBreakerFor(clientService)
	dialer := &net.Dialer{Timeout: clientDialTimeout}
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}, Timeout: clientTimeout}
	return &Client{Server: server, Token: token, service: httpc.NewServiceWithClient(clientService, client)}
}

// CallError reports a call that was refused or whose outcome is unknown.
type CallError struct {
	// Code is the machine-readable reason.
	Code Code
	// Message is the human-readable reason.
	Message string
	// NotDone is whether the call certainly had no effect. Otherwise the caller must
	// repeat the identical call to learn its outcome.
	NotDone bool
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("administration: %s: %s", e.Code, e.Message) }

// Change requests a change of the configuration. If the answer is lost, it returns a
// *CallError without NotDone, and the change must be repeated with the same id.
func (c *Client) Change(ctx context.Context, change ChangeMessage) (ResultMessage, error) {
	var result ResultMessage
	err := c.call(ctx, http.MethodPost, "/changes", change, &result)
	return result, err
}

// Outcome returns the result of the change with the given id.
func (c *Client) Outcome(ctx context.Context, id string) (ResultMessage, error) {
	var result ResultMessage
	err := c.call(ctx, http.MethodGet, "/changes/"+url.PathEscape(id), nil, &result)
	return result, err
}

// Configuration returns the configuration in force, with the parameter values limited to
// one organisation unless organisation is empty.
func (c *Client) Configuration(ctx context.Context, organisation string) (ConfigurationMessage, error) {
	var m ConfigurationMessage
	err := c.call(ctx, http.MethodGet, "/configuration"+organisationQuery(organisation), nil, &m)
	return m, err
}

// Submit submits a batch job. The call is idempotent by organisation and name.
func (c *Client) Submit(ctx context.Context, job SubmitMessage) (JobMessage, error) {
	var m JobMessage
	err := c.call(ctx, http.MethodPost, "/jobs", job, &m)
	return m, err
}

// Cancel cancels a batch job and returns its record.
func (c *Client) Cancel(ctx context.Context, organisation, name string) (JobMessage, error) {
	var m JobMessage
	err := c.call(ctx, http.MethodPost, jobPath(organisation, name)+"/cancel", nil, &m)
	return m, err
}

// Job returns a batch job.
func (c *Client) Job(ctx context.Context, organisation, name string) (JobMessage, error) {
	var m JobMessage
	err := c.call(ctx, http.MethodGet, jobPath(organisation, name), nil, &m)
	return m, err
}

// Jobs returns the batch jobs of an organisation, or all batch jobs if organisation is
// empty.
func (c *Client) Jobs(ctx context.Context, organisation string) (JobsMessage, error) {
	var m JobsMessage
	err := c.call(ctx, http.MethodGet, "/jobs"+organisationQuery(organisation), nil, &m)
	return m, err
}

// Status returns the state of the system, with the tasks and quotas limited to one
// organisation unless organisation is empty.
func (c *Client) Status(ctx context.Context, organisation string) (StatusMessage, error) {
	var m StatusMessage
	err := c.call(ctx, http.MethodGet, "/status"+organisationQuery(organisation), nil, &m)
	return m, err
}

// Evacuate requests that no task start in a failure domain. The call is idempotent.
func (c *Client) Evacuate(ctx context.Context, failureDomain string) (EvacuationMessage, error) {
	var m EvacuationMessage
	err := c.call(ctx, http.MethodPost, failureDomainPath(failureDomain)+"/evacuate", nil, &m)
	return m, err
}

// TakeBack ends the evacuation of a failure domain. The call is idempotent.
func (c *Client) TakeBack(ctx context.Context, failureDomain string) (EvacuationMessage, error) {
	var m EvacuationMessage
	err := c.call(ctx, http.MethodPost, failureDomainPath(failureDomain)+"/take_back", nil, &m)
	return m, err
}

// TimeLine returns the events that match the filter.
func (c *Client) TimeLine(ctx context.Context, filter recorder.Filter) (recorder.TimeLine, error) {
	var text json.RawMessage
	query := filterQuery(filter).Encode()
	if err := c.call(ctx, http.MethodGet, "/timeline?"+query, nil, &text); err != nil {
		return recorder.TimeLine{}, err
	}
	return recorder.DecodeTimeLine(text)
}

// Release records that an entry VM is gone for good.
func (c *Client) Release(ctx context.Context, vm string) (ReleaseMessage, error) {
	var m ReleaseMessage
	err := c.call(ctx, http.MethodPost, "/vms/"+url.PathEscape(vm)+"/release", nil, &m)
	return m, err
}

func organisationQuery(organisation string) string {
	if organisation == "" {
		return ""
	}
	return "?" + url.Values{"organisation": {organisation}}.Encode()
}

func jobPath(organisation, name string) string {
	return "/jobs/" + url.PathEscape(organisation) + "/" + url.PathEscape(name)
}

func failureDomainPath(failureDomain string) string {
	return "/failure_domains/" + url.PathEscape(failureDomain)
}

func (c *Client) call(ctx context.Context, method, path string, message, result any) error {
	var body io.Reader
	if message != nil {
		content, err := json.Marshal(message)
		if err != nil {
			return err
		}
		body = bytes.NewReader(content)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Server+pathPrefix+path, body)
	if err != nil {
		return err
	}
	request.Header.Set(authorizationHeader, bearerScheme+string(c.Token))
	request.Header.Set("Content-Type", "application/json")
	response, err := c.service.DoRequest(request)
	if err != nil {
		return &CallError{Code: CodeUnclear, Message: err.Error(), NotDone: isDialError(err)}
	}
	defer response.Body.Close()
	return readAnswer(response, result)
}

// isDialError reports whether err means that no connection was established, so that the
// server can't have received the call.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// readAnswer decodes the body into result or, if it is an ErrorMessage, returns it as a
// *CallError. A rejected or conflicting change has a result too, although its status
// code is not 200.
func readAnswer(response *http.Response, result any) error {
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return &CallError{Code: CodeUnclear, Message: err.Error()}
	}
	var failure ErrorMessage
	if err := json.Unmarshal(content, &failure); err != nil {
		return &CallError{Code: CodeUnclear, Message: response.Status}
	}
	if failure.Code != "" {
		return &CallError{Code: failure.Code, Message: failure.Message, NotDone: failure.NotDone}
	}
	outcome, isChange := result.(*ResultMessage)
	if err := json.Unmarshal(content, result); err != nil {
		return &CallError{Code: CodeUnclear, Message: err.Error()}
	}
	if isChange && changeStatusCodes[outcome.State] != response.StatusCode {
		return &CallError{Code: CodeUnclear, Message: response.Status}
	}
	if !isChange && response.StatusCode != http.StatusOK {
		return &CallError{Code: CodeUnclear, Message: response.Status}
	}
	return nil
}

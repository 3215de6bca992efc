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
	clientService  = "administration"
	clientTimeout  = 30 * time.Second
	clientDialTime = 2 * time.Second
	maxAnswerBytes = 64 << 20
)

// Client calls the administration API of an entry VM.
type Client struct {
	// Server is the IP address and port.
	Server string
	// Token authenticates the caller.
	Token Secret

	service httpc.Service
}

// NewClient returns a Client of the entry VM at the address.
func NewClient(server string, token Secret) *Client {
	breaker.NoBreakerFor(clientService)
	dialer := &net.Dialer{Timeout: clientDialTime}
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}, Timeout: clientTimeout}
	return &Client{Server: server, Token: token, service: httpc.NewServiceWithClient(clientService, client)}
}

// CallError reports a call that was refused.
type CallError struct {
	// Code names why.
	Code Code
	// Message tells why.
	Message string
	// NotDone tells that the call certainly took no effect. Otherwise it is to be
	// repeated alike.
	NotDone bool
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("administration: %s: %s", e.Code, e.Message) }

// Change asks for a change of the configuration. An answer that was lost makes a
// *CallError without NotDone: the change is then to be repeated with the same id.
func (c *Client) Change(ctx context.Context, change ChangeMessage) (ResultMessage, error) {
	var result ResultMessage
	err := c.call(ctx, http.MethodPost, "/changes", change, &result)
	return result, err
}

// Outcome returns what became of a change.
func (c *Client) Outcome(ctx context.Context, id string) (ResultMessage, error) {
	var result ResultMessage
	err := c.call(ctx, http.MethodGet, "/changes/"+url.PathEscape(id), nil, &result)
	return result, err
}

// Configuration returns the configuration in force, of one organisation or of
// all if it is empty.
func (c *Client) Configuration(ctx context.Context, organisation string) (ConfigurationMessage, error) {
	var m ConfigurationMessage
	err := c.call(ctx, http.MethodGet, "/configuration"+organisationQuery(organisation), nil, &m)
	return m, err
}

// Submit submits a batch job. It is idempotent by organisation and name.
func (c *Client) Submit(ctx context.Context, job SubmitMessage) (JobMessage, error) {
	var m JobMessage
	err := c.call(ctx, http.MethodPost, "/jobs", job, &m)
	return m, err
}

// Cancel cancels a batch job.
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

// Jobs returns the batch jobs of an organisation, or of all if it is empty.
func (c *Client) Jobs(ctx context.Context, organisation string) (JobsMessage, error) {
	var m JobsMessage
	err := c.call(ctx, http.MethodGet, "/jobs"+organisationQuery(organisation), nil, &m)
	return m, err
}

// Status returns the state of the system.
func (c *Client) Status(ctx context.Context, organisation string) (StatusMessage, error) {
	var m StatusMessage
	err := c.call(ctx, http.MethodGet, "/status"+organisationQuery(organisation), nil, &m)
	return m, err
}

// TimeLine returns the events that pass the filter.
func (c *Client) TimeLine(ctx context.Context, filter recorder.Filter) (recorder.TimeLine, error) {
	var text json.RawMessage
	query := filterQuery(filter).Encode()
	if err := c.call(ctx, http.MethodGet, "/timeline?"+query, nil, &text); err != nil {
		return recorder.TimeLine{}, err
	}
	return recorder.DecodeTimeLine(text)
}

// Release declares an entry VM gone.
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
		return &CallError{Code: CodeUnclear, Message: err.Error(), NotDone: isDial(err)}
	}
	defer response.Body.Close()
	return readAnswer(response, result)
}

// isDial reports whether no connection came about.
func isDial(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// readAnswer reads a result, also one that comes with the status code of a
// conflict or rejection, or else the failure.
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
	if isChange && changeCodes[outcome.State] != response.StatusCode {
		return &CallError{Code: CodeUnclear, Message: response.Status}
	}
	if !isChange && response.StatusCode != http.StatusOK {
		return &CallError{Code: CodeUnclear, Message: response.Status}
	}
	return nil
}

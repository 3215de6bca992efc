package keeper

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

const (
	storeService          = "store"
	maxAnswerBytes        = 16 << 20
	answerTimeout         = 3 * time.Second
	dialTimeout           = time.Second
	maxIdleConnections    = 8
	idleConnectionTimeout = 30 * time.Second
)

// Client is a Store that is accessed over HTTP with JSON bodies.
type Client struct {
	// Address is the IP address and port of the store.
	Address string

	service httpc.Service
}

// NewClient returns a Client of the store at address.
func NewClient(address string) *Client {
	breaker.NoBreakerFor(storeService)
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleConnectionTimeout,
	}
	client := &http.Client{Transport: transport}
	return &Client{
		Address: address,
		service: httpc.NewServiceWithClient(storeService, client),
	}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var answer EntryMessage
	if err := c.call(ctx, "get", KeyMessage{Key: key}, &answer); err != nil {
		return Entry{}, err
	}
	return answer.entry(), nil
}

// List implements Store. It leaves out documents that are being deleted.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	var answer ListingMessage
	if err := c.call(ctx, "list", KeyMessage{Key: prefix}, &answer); err != nil {
		return Listing{}, err
	}
	listing := Listing{Revision: answer.Revision}
	for _, m := range answer.Entries {
		if !isTombstone(m.Value) {
			listing.Entries = append(listing.Entries, m.entry())
		}
	}
	return listing, nil
}

// Swap implements Store.
func (c *Client) Swap(ctx context.Context, key string, expected int64, value []byte, lease LeaseID) (int64, error) {
	request := SwapMessage{Key: key, Expected: expected, Value: value, Lease: int64(lease), Delete: value == nil}
	var answer SwapAnswer
	if err := c.call(ctx, "swap", request, &answer); err != nil {
		return 0, err
	}
	if answer.Conflict != nil {
		return 0, &ConflictError{Current: answer.Conflict.entry(), Expected: expected}
	}
	if answer.Expired {
		return 0, &LeaseExpiredError{Lease: lease}
	}
	return answer.Version, nil
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var answer LeaseMessage
	if err := c.call(ctx, "grant", GrantMessage{Milliseconds: ttl.Milliseconds()}, &answer); err != nil {
		return 0, err
	}
	return LeaseID(answer.Lease), nil
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) error {
	return c.lease(ctx, "keep_alive", lease)
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	return c.lease(ctx, "revoke", lease)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error) {
	request := WatchMessage{Prefix: prefix, After: after, WaitMilliseconds: wait.Milliseconds()}
	var answer ChangesMessage
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	if err := c.call(ctx, "watch", request, &answer); err != nil {
		return Changes{}, err
	}
	if answer.Compacted {
		return Changes{}, &CompactedError{After: after, Oldest: answer.Revision}
	}
	changes := Changes{Revision: answer.Revision}
	for _, m := range answer.Changes {
		changes.Items = append(changes.Items, Change{Entry: m.Entry.entry(), Deleted: m.Deleted})
	}
	return changes, nil
}

func (c *Client) lease(ctx context.Context, operation string, lease LeaseID) error {
	var answer LeaseMessage
	if err := c.call(ctx, operation, LeaseMessage{Lease: int64(lease)}, &answer); err != nil {
		return err
	}
	if answer.Expired {
		return &LeaseExpiredError{Lease: lease}
	}
	return nil
}

func (c *Client) call(ctx context.Context, operation string, message, answer any) error {
	if _, limited := ctx.Deadline(); !limited {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, answerTimeout)
		defer cancel()
	}
	body, err := json.Marshal(message)
	if err != nil {
		return &UnavailableError{Operation: operation, Err: err}
	}
	url := fmt.Sprintf("http://%s/v1/%s", c.Address, operation)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return &UnavailableError{Operation: operation, Err: err}
	}
	response, err := c.service.DoRequest(request)
	if err != nil {
		return callError(operation, err)
	}
	defer response.Body.Close()
	return decodeAnswer(operation, response, answer)
}

func decodeAnswer(operation string, response *http.Response, answer any) error {
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return &UnclearError{Operation: operation, Err: err}
	}
	if err := statusError(operation, response); err != nil {
		return err
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return &UnclearError{Operation: operation, Err: err}
	}
	return nil
}

// statusError returns the error for the status of a response, or nil for a success.
// The type of the error shows whether the call may have taken effect.
func statusError(operation string, response *http.Response) error {
	status := response.StatusCode
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return &UnavailableError{Operation: operation, Err: errors.New(response.Status)}
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusRequestTimeout:
		return &RefusedError{Operation: operation, Status: status}
	default:
		return &UnclearError{Operation: operation, Err: errors.New(response.Status)}
	}
}

func callError(operation string, err error) error {
	var dialError *net.OpError
	if errors.As(err, &dialError) && dialError.Op == "dial" {
		return &UnavailableError{Operation: operation, Err: err}
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return &UnavailableError{Operation: operation, Err: err}
	}
	return &UnclearError{Operation: operation, Err: err}
}

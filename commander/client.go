package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"zinniashore.example/placer"
)

const (
	workerService         = "worker"
	maxAnswerBytes        = 4 << 20
	defaultTimeout        = time.Second
	idleConnectionTimeout = 30 * time.Second
)

// Client is a Commander over HTTP with JSON bodies.
type Client struct {
	// Clock gives the time at which an answer was received.
	Clock clockwork.Clock
	// Timeout bounds each call.
	Timeout time.Duration

	service httpc.Service
}

// NewClient returns a Client whose calls time out after timeout, or after one second if
// timeout is zero.
func NewClient(clock clockwork.Clock, timeout time.Duration) *Client {
	if timeout == 0 {
		timeout = defaultTimeout
	}
	breaker.NoBreakerFor(workerService)
	dialer := &net.Dialer{Timeout: timeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleConnectionTimeout,
	}
	service := httpc.NewServiceWithClient(workerService, &http.Client{Transport: transport})
	return &Client{Clock: clock, Timeout: timeout, service: service}
}

// Start implements Commander.
func (c *Client) Start(ctx context.Context, address string, header Header, start Start) (Answer, error) {
	return c.call(ctx, address, "start", header.Cell, start.message(header))
}

// Renew implements Commander.
func (c *Client) Renew(ctx context.Context, address string, header Header) (Answer, error) {
	return c.call(ctx, address, "renew", header.Cell, tasksMessage(header, nil))
}

// Stop implements Commander.
func (c *Client) Stop(ctx context.Context, address string, header Header, tasks []Ref) (Answer, error) {
	return c.call(ctx, address, "stop", header.Cell, tasksMessage(header, tasks))
}

// Checkpoint implements Commander.
func (c *Client) Checkpoint(ctx context.Context, address string, header Header, tasks []Ref) (Answer, error) {
	return c.call(ctx, address, "checkpoint", header.Cell, tasksMessage(header, tasks))
}

// Throttle implements Commander.
func (c *Client) Throttle(ctx context.Context, address string, header Header, task Ref, share float64) (Answer, error) {
	message := tasksMessage(header, []Ref{task})
	message.Throttle = share
	return c.call(ctx, address, "throttle", header.Cell, message)
}

// Resize implements Commander.
func (c *Client) Resize(ctx context.Context, address string, header Header, task Ref, size placer.Size) (Answer, error) {
	message := tasksMessage(header, []Ref{task})
	message.Size = &SizeMessage{Processors: size.Processors, Memory: size.Memory, Accelerators: size.Accelerators}
	return c.call(ctx, address, "resize", header.Cell, message)
}

// Forget implements Commander.
func (c *Client) Forget(ctx context.Context, address string, header Header, tasks []Ref) (Answer, error) {
	return c.call(ctx, address, "forget", header.Cell, tasksMessage(header, tasks))
}

func (c *Client) call(ctx context.Context, address, operation, cell string, message any) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	status, content, err := c.post(ctx, address, operation, message)
	if err != nil {
		return Answer{}, &UnreachableError{Address: address, Err: err}
	}
	received := c.Clock.Now()
	var answer AnswerMessage
	if err := json.Unmarshal(content, &answer); err != nil {
		return Answer{}, &UnreachableError{Address: address, Err: err}
	}
	switch {
	case status == http.StatusConflict:
		return Answer{}, &FencedError{Cell: cell, Epoch: answer.Epoch}
	case status != http.StatusOK:
		return Answer{}, &UnreachableError{Address: address, Err: errors.New(http.StatusText(status))}
	case answer.Refused != "":
		return answer.answer(received), &RefusedError{Reason: answer.Refused}
	}
	return answer.answer(received), nil
}

func (c *Client) post(ctx context.Context, address, operation string, message any) (int, []byte, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return 0, nil, err
	}
	url := fmt.Sprintf("http://%s/v1/%s", address, operation)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.service.DoRequest(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return response.StatusCode, content, err
}

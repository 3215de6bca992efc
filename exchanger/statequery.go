package exchanger

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	stateQueryTimeout = 200 * time.Millisecond
	stateQueryPeriod  = 50 * time.Millisecond
)

// State is the state of a request as the endpoint reports it.
type State string

// States of requests. An endpoint that doesn't support state queries reports none.
const (
	// StateUnknown means that the endpoint reported no state.
	StateUnknown State = ""
	// StateRunning is the state of a request that is running.
	StateRunning State = "running"
	// StateDone is the state of a request that ran or was refused.
	StateDone State = "done"
	// StateNever is the state of a request that has not arrived, and that the endpoint
	// will not run if it arrives later.
	StateNever State = "never"
)

// pollState queries the state of a running exchange after each delay. If the endpoint
// never received the request, the connection is unresponsive, and pollState revokes and
// cancels the exchange, which then fails as not sent.
func (e *Exchanger) pollState(ctx context.Context, x *exchange, delay time.Duration, cancel context.CancelFunc) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.Clock.After(delay):
		}
		if !x.running() {
			continue
		}
		state, uptime, supported := e.queryState(ctx, x.id)
		if state == StateNever && uptime > e.Clock.Since(x.sendTime()) {
			x.revoke()
			cancel()
			e.CloseIdle()
			return
		}
		if !supported {
			return
		}
	}
}

// queryState queries the state of a request over a new connection. It returns the state
// and the uptime of the endpoint's process, and false if the endpoint answers but doesn't
// support state queries.
func (e *Exchanger) queryState(ctx context.Context, id string) (State, time.Duration, bool) {
	ctx, cancel := clockwork.WithTimeout(ctx, e.Clock, stateQueryTimeout)
	defer cancel()
	url := "http://" + e.Address + probePath + "/" + id
	message, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return StateUnknown, 0, false
	}
	response, err := e.fresh.DoRequest(message)
	if err != nil {
		return StateUnknown, 0, true
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBytes))
	state := State(response.Header.Get(HeaderState))
	milliseconds, err := strconv.ParseInt(response.Header.Get(HeaderUptime), 10, 64)
	if err != nil {
		return StateUnknown, 0, false
	}
	return state, time.Duration(milliseconds) * time.Millisecond, state != StateUnknown
}

package exchanger

import (
	"context"
	"io"
	"net/http"
)

const (
	probePath     = "/healthz"
	maxProbeBytes = 4 << 10
)

// Health is the result of a health probe.
type Health string

// Results of health probes.
const (
	// HealthGood means that the endpoint accepts requests.
	HealthGood Health = "good"
	// HealthBad means that the endpoint answered with a status other than 200.
	HealthBad Health = "bad"
	// HealthDraining means that the endpoint is draining.
	HealthDraining Health = "draining"
	// HealthSilent means that no complete answer arrived.
	HealthSilent Health = "silent"
)

// Probe requests the health of the endpoint over one of the open connections, or over a
// new one if fresh is set; it then closes the idle connections first. Without an answer,
// it returns HealthSilent when ctx ends.
func (e *Exchanger) Probe(ctx context.Context, fresh bool) Health {
	e.once.Do(e.build)
	service := e.service
	if fresh {
		e.CloseIdle()
		service = e.fresh
	}
	message, err := http.NewRequestWithContext(withTrace(ctx, nil), http.MethodGet, "http://"+e.Address+probePath, nil)
	if err != nil {
		return HealthBad
	}
	response, err := service.DoRequest(message)
	if err != nil {
		return HealthSilent
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBytes)); err != nil {
		return HealthSilent
	}
	if response.Header.Get(HeaderDraining) == "true" {
		return HealthDraining
	}
	if response.StatusCode != http.StatusOK {
		return HealthBad
	}
	return HealthGood
}

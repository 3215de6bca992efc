// Package bencher measures the request path and its baselines in the same run, over
// loopback and with stand-ins for the endpoints.
package bencher

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	defaultDuration    = 3 * time.Second
	defaultEndpoints   = 4
	defaultSlots       = 8
	defaultServiceTime = 40 * time.Millisecond
	defaultWarmUp      = time.Second
	defaultSeed        = 1

	// deadlineFactor is the deadline of a request, as a multiple of the service time.
	deadlineFactor = 10
	halfLoad       = 0.5
)

// Options are the conditions of a measurement. Zero fields have defaults.
type Options struct {
	// Clock is the source of time, the real clock by default.
	Clock clockwork.Clock
	// Duration is the length of each measured load.
	Duration time.Duration
	// Endpoints is the number of endpoints.
	Endpoints int
	// Slots is the number of requests that an endpoint runs concurrently.
	Slots int
	// ServiceTime is the time that an endpoint takes to run a request.
	ServiceTime time.Duration
	// WarmUp is the length of the unmeasured load that precedes a measurement.
	WarmUp time.Duration
	// Seed seeds the arrival times of requests.
	Seed uint64
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Duration == 0 {
		o.Duration = defaultDuration
	}
	if o.Endpoints == 0 {
		o.Endpoints = defaultEndpoints
	}
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.ServiceTime == 0 {
		o.ServiceTime = defaultServiceTime
	}
	if o.WarmUp == 0 {
		o.WarmUp = defaultWarmUp
	}
	if o.Seed == 0 {
		o.Seed = defaultSeed
	}
	return o
}

// capacity returns the number of requests per second that the endpoints can serve.
func (o Options) capacity() float64 {
	return float64(o.Endpoints*o.Slots) / o.ServiceTime.Seconds()
}

func (o Options) deadline() time.Duration { return deadlineFactor * o.ServiceTime }

// Row is one measured figure with its baseline.
type Row struct {
	// Measure names what was measured.
	Measure string
	// Unit is the unit of Baseline, Figure and Target.
	Unit string
	// Baseline is the value measured for the baseline.
	Baseline float64
	// Figure is the value measured for the request path.
	Figure float64
	// Target is the bound that Figure has to meet, zero for none.
	Target float64
	// Met is true if Figure meets Target. It is false if there is no target.
	Met bool
}

// String returns the row as one line of text.
func (r Row) String() string {
	text := fmt.Sprintf("%s: %.4g %s, baseline %.4g", r.Measure, r.Figure, r.Unit, r.Baseline)
	if r.Target == 0 {
		return text
	}
	return fmt.Sprintf("%s, target %.4g, met %t", text, r.Target, r.Met)
}

// Report is the result of a measurement.
type Report struct {
	// Conditions is a line that describes the options of the measurement.
	Conditions string
	// Rows are the measured figures.
	Rows []Row
}

// addAtMost adds a row whose figure must not exceed its target.
func (r *Report) addAtMost(measure, unit string, baseline, figure, target float64) {
	r.Rows = append(r.Rows, Row{Measure: measure, Unit: unit, Baseline: baseline, Figure: figure,
		Target: target, Met: target > 0 && figure <= target})
}

// addAtLeast adds a row whose figure must not fall below its target.
func (r *Report) addAtLeast(measure, unit string, baseline, figure, target float64) {
	r.Rows = append(r.Rows, Row{Measure: measure, Unit: unit, Baseline: baseline, Figure: figure,
		Target: target, Met: target > 0 && figure >= target})
}

// Requests measures the request path: its added latency, a slow endpoint, goodput under
// overload, silent connections, and endpoints owned by one entry VM each compared with
// fixed shares of every endpoint. On an error it returns the rows measured so far.
func Requests(ctx context.Context, options Options) (Report, error) {
	options = options.withDefaults()
	report := Report{Conditions: fmt.Sprintf("%d endpoints, %d slots each, %v service time, %v a load, seed %d, deadline %v",
		options.Endpoints, options.Slots, options.ServiceTime, options.Duration, options.Seed, options.deadline())}
	measures := []func(context.Context, Options, *Report) error{
		measureAddedLatency, measureSlowEndpoint, measureOverload, measureSilence, measureShares,
	}
	for _, measure := range measures {
		if err := measure(ctx, options, &report); err != nil {
			return report, err
		}
	}
	return report, nil
}

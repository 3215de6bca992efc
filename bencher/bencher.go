// Package bencher measures the request path against its baselines in the same
// run, over loopback and with stand-ins for the endpoints.
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

	// deadlineFactor is the deadline of a request in service times.
	deadlineFactor = 10
	halfLoad       = 0.5
)

// Options are the conditions of a measurement. Zero fields have defaults.
type Options struct {
	// Clock gives the time.
	Clock clockwork.Clock
	// Duration is how long each load lasts.
	Duration time.Duration
	// Endpoints is how many endpoints serve.
	Endpoints int
	// Slots is how many requests each serves at once.
	Slots int
	// ServiceTime is how long each request runs.
	ServiceTime time.Duration
	// WarmUp is how long a load goes before it is measured.
	WarmUp time.Duration
	// Seed fixes the arrivals.
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

// capacity is the requests a second that the endpoints can serve.
func (o Options) capacity() float64 {
	return float64(o.Endpoints*o.Slots) / o.ServiceTime.Seconds()
}

func (o Options) deadline() time.Duration { return deadlineFactor * o.ServiceTime }

// Row is one measured figure beside its baseline.
type Row struct {
	// Measure names what was measured.
	Measure string
	// Unit is the unit of the numbers.
	Unit string
	// Baseline is the number of the baseline.
	Baseline float64
	// Figure is the number of the request path.
	Figure float64
	// Target is what the figure is held against, zero for none.
	Target float64
	// Met tells whether the figure meets the target.
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
	// Conditions describes the conditions.
	Conditions string
	// Rows are the figures.
	Rows []Row
}

// atMost adds a row whose figure should not be above its target.
func (r *Report) atMost(measure, unit string, baseline, figure, target float64) {
	r.Rows = append(r.Rows, Row{Measure: measure, Unit: unit, Baseline: baseline, Figure: figure,
		Target: target, Met: target > 0 && figure <= target})
}

// atLeast adds a row whose figure should not be below its target.
func (r *Report) atLeast(measure, unit string, baseline, figure, target float64) {
	r.Rows = append(r.Rows, Row{Measure: measure, Unit: unit, Baseline: baseline, Figure: figure,
		Target: target, Met: target > 0 && figure >= target})
}

// Requests measures the request path: the latency that it adds, goodput past
// saturation, a slow endpoint, silent connections, and owned endpoints against
// fixed shares of each.
func Requests(ctx context.Context, options Options) (Report, error) {
	options = options.withDefaults()
	report := Report{Conditions: fmt.Sprintf("%d endpoints, %d slots each, %v service time, %v a load, seed %d, deadline %v",
		options.Endpoints, options.Slots, options.ServiceTime, options.Duration, options.Seed, options.deadline())}
	measures := []func(context.Context, Options, *Report) error{
		measureAdded, measureSlow, measureOverload, measureSilence, measureShares,
	}
	for _, measure := range measures {
		if err := measure(ctx, options, &report); err != nil {
			return report, err
		}
	}
	return report, nil
}

package bencher

import (
	"context"
	"fmt"
	"slices"
	"time"

	"zinniashore.example/router"
	"zinniashore.example/standin"
)

const (
	maxTailLatencyRatio = 1.5
	minGoodputRatio     = 0.95
	slowFactor          = 10
	entryVMs            = 3
	highLoad            = 0.9
)

// trial is the test environment of one measurement. The owner calls close to stop it.
type trial struct {
	*testbed
	close context.CancelFunc
}

func newTrial(ctx context.Context, options Options) (trial, error) {
	ctx, cancel := context.WithCancel(ctx)
	s, err := newTestbed(ctx, options)
	return trial{testbed: s, close: cancel}, err
}

func (t trial) load(factor float64, duration time.Duration) load {
	return load{
		clock: t.options.Clock, rate: factor * t.options.capacity(), duration: duration,
		deadline: t.options.deadline(), seed: t.options.Seed,
	}
}

// warmUp runs an unmeasured load at half of the capacity, so that connections are open and
// the router has an estimate of the usual latency.
func (t trial) warmUp(call callFunc) {
	t.load(halfLoad, t.options.WarmUp).run(t.ctx, call)
}

// measureAddedLatency compares the latency of requests through an entry VM with that of
// direct calls to the endpoints.
func measureAddedLatency(ctx context.Context, options Options, report *Report) error {
	t, err := newTrial(ctx, options)
	if err != nil {
		return err
	}
	defer t.close()
	call, err := t.routedCall()
	if err != nil {
		return err
	}
	t.warmUp(t.roundRobin)
	direct := t.load(halfLoad, options.Duration).run(t.ctx, t.roundRobin)
	t.warmUp(call)
	routed := t.load(halfLoad, options.Duration).run(t.ctx, call)
	report.addAtMost("p50 at half load", "ms", direct.percentile(50), routed.percentile(50), 0)
	report.addAtMost("p99 at half load", "ms", direct.percentile(99), routed.percentile(99), maxTailLatencyRatio*direct.percentile(99))
	report.addAtMost("p99.9 at half load", "ms", direct.percentile(99.9), routed.percentile(99.9), 0)
	return nil
}

// measureSlowEndpoint compares routed requests with calls to random endpoints while one
// endpoint is slowFactor times slower.
func measureSlowEndpoint(ctx context.Context, options Options, report *Report) error {
	t, err := newTrial(ctx, options)
	if err != nil {
		return err
	}
	defer t.close()
	call, err := t.routedCall()
	if err != nil {
		return err
	}
	t.warmUp(call)
	healthy := t.load(halfLoad, options.Duration).run(t.ctx, call)
	t.setFaults(standin.EndpointFaults{SlowFactor: slowFactor}, 1)
	t.warmUp(call)
	routed := t.load(halfLoad, options.Duration).run(t.ctx, call)
	random := t.load(halfLoad, options.Duration).run(t.ctx, t.random)
	report.addAtMost("p99 with one endpoint 10 times slower", "ms", random.percentile(99), routed.percentile(99),
		maxTailLatencyRatio*healthy.percentile(99))
	report.addAtLeast("answered in time with one endpoint 10 times slower", "of all",
		goodFraction(random), goodFraction(routed), 0)
	return nil
}

// measureOverload measures the goodput at 1, 2 and 4 times the capacity of the endpoints,
// and the time to recover under the half load that follows.
func measureOverload(ctx context.Context, options Options, report *Report) error {
	factors := []float64{1, 2, 4}
	var baselines, figures []float64
	var naiveRecovery, routedRecovery time.Duration
	for _, factor := range factors {
		during, after, err := runOverload(ctx, options, factor, false)
		if err != nil {
			return err
		}
		baselines = append(baselines, during.goodput(options.Duration))
		naiveRecovery = after.recovery()
		if during, after, err = runOverload(ctx, options, factor, true); err != nil {
			return err
		}
		figures = append(figures, during.goodput(options.Duration))
		routedRecovery = after.recovery()
	}
	peak := slices.Max(figures)
	targets := []float64{0, 0, minGoodputRatio * peak}
	for i, factor := range factors {
		report.addAtLeast(fmt.Sprintf("goodput at %v times capacity", factor), "1/s", baselines[i], figures[i], targets[i])
	}
	report.addAtMost("time back to normal after 4 times capacity", "ms", milliseconds(naiveRecovery), milliseconds(routedRecovery), 0)
	return nil
}

// runOverload runs a load of factor times the capacity, then a half load, and returns the
// outcomes of both. Requests are routed, or sent by the naive client.
func runOverload(ctx context.Context, options Options, factor float64, routed bool) (outcome, outcome, error) {
	t, err := newTrial(ctx, options)
	if err != nil {
		return outcome{}, outcome{}, err
	}
	defer t.close()
	call := t.naive
	if routed {
		if call, err = t.routedCall(); err != nil {
			return outcome{}, outcome{}, err
		}
	}
	t.warmUp(call)
	during := t.load(factor, options.Duration).run(t.ctx, call)
	after := t.load(halfLoad, options.Duration).run(t.ctx, call)
	return during, after, nil
}

// measureSilence silences every open connection under half load and counts the requests
// that are lost or miss their deadline.
func measureSilence(ctx context.Context, options Options, report *Report) error {
	baseline, err := runSilence(ctx, options, false)
	if err != nil {
		return err
	}
	routed, err := runSilence(ctx, options, true)
	if err != nil {
		return err
	}
	report.addAtMost("requests lost or late as all connections go silent", "requests", float64(baseline), float64(routed), 0)
	return nil
}

func runSilence(ctx context.Context, options Options, routed bool) (int, error) {
	t, err := newTrial(ctx, options)
	if err != nil {
		return 0, err
	}
	defer t.close()
	call := t.roundRobin
	if routed {
		if call, err = t.routedCall(); err != nil {
			return 0, err
		}
	}
	t.warmUp(call)
	go func() {
		t.options.Clock.Sleep(options.Duration / 3)
		t.setFaults(standin.EndpointFaults{SilenceOpen: true}, len(t.endpoints))
	}()
	result := t.load(halfLoad, options.Duration).run(t.ctx, call)
	return result.sent - result.good, nil
}

// measureShares compares two ways to divide the endpoints among entry VMs: each endpoint
// owned by one entry VM, and a fixed share of every endpoint for each entry VM. In both,
// requests overflow to peers.
func measureShares(ctx context.Context, options Options, report *Report) error {
	for _, factor := range []float64{halfLoad, highLoad} {
		owned, err := runShares(ctx, options, factor, true)
		if err != nil {
			return err
		}
		fixed, err := runShares(ctx, options, factor, false)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("at %v of capacity over %d entry VMs, fixed shares against owned endpoints", factor, entryVMs)
		report.addAtMost("p99 "+name, "ms", owned.percentile(99), fixed.percentile(99), 0)
		report.addAtLeast("answered in time "+name, "of all", goodFraction(owned), goodFraction(fixed), 0)
	}
	return nil
}

func runShares(ctx context.Context, options Options, factor float64, owned bool) (outcome, error) {
	t, err := newTrial(ctx, options)
	if err != nil {
		return outcome{}, err
	}
	defer t.close()
	routers, err := t.newRouters(owned)
	if err != nil {
		return outcome{}, err
	}
	call := randomRouterCall(options.Clock, routers)
	options.Clock.Sleep(options.WarmUp)
	t.warmUp(call)
	return t.load(factor, options.Duration).run(t.ctx, call), nil
}

// newRouters starts the routers of entryVMs entry VMs, each a peer of the others. Each
// owns every third endpoint, or has a third of the slots of every endpoint.
func (s *testbed) newRouters(owned bool) ([]*router.Router, error) {
	var routers []*router.Router
	var peers []router.Peer
	var lists []*fixedPeers
	for i := range entryVMs {
		slots, admit := (s.options.Slots+entryVMs-1-i)/entryVMs, allEndpoints
		if owned {
			slots, admit = s.options.Slots, func(index int) bool { return index%entryVMs == i }
		}
		list := &fixedPeers{}
		r := s.newRouter(fmt.Sprint("vm-", i), slots, list, admit)
		peer, err := s.connectPeer(r)
		if err != nil {
			return nil, err
		}
		routers, peers, lists = append(routers, r), append(peers, peer), append(lists, list)
	}
	for i, list := range lists {
		others := append([]router.Peer(nil), peers[:i]...)
		list.peers = append(others, peers[i+1:]...)
	}
	s.run(routers...)
	return routers, nil
}

func goodFraction(o outcome) float64 { return float64(o.good) / float64(max(o.sent, 1)) }

func milliseconds(duration time.Duration) float64 { return float64(duration.Milliseconds()) }

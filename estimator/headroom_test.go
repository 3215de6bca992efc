package estimator_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"zinniashore.example/estimator"
)

// TestHeadrooms checks that the estimates separate an interfering co-located task from a
// harmless one, and that the baseline follows the job's own load, which swings.
func TestHeadrooms(t *testing.T) {
	const (
		target      = 45 * time.Millisecond
		alone       = 10.0
		loudEffect  = 10.0
		swingPeriod = 14.0
	)
	tests := map[string]struct {
		reports        int
		wantLoud       float64
		loudWithin     float64
		wantQuiet      float64
		quietWithin    float64
		baselineWithin float64
	}{
		"after ten seconds":   {reports: 60, wantLoud: loudEffect, loudWithin: 3, wantQuiet: 0, quietWithin: 2, baselineWithin: 0.5},
		"after half a minute": {reports: 180, wantLoud: loudEffect, loudWithin: 2, wantQuiet: 0, quietWithin: 1.5, baselineWithin: 0.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			h := estimator.NewHeadrooms()
			start := time.UnixMilli(1_000_000)
			var baseline float64
			for i := range test.reports {
				at := start.Add(time.Duration(i) * time.Second / 6)
				load := 0.42 * (1 + 0.5*math.Sin(2*math.Pi*at.Sub(start).Seconds()/swingPeriod))
				baseline = float64(target.Milliseconds()) / alone * (1 - load)
				var colocated []estimator.ColocatedLoad
				left := baseline
				switch i % 3 {
				case 0:
					colocated = []estimator.ColocatedLoad{{Name: "loud", Load: 0.08}}
					left -= 0.08 * loudEffect
				case 1:
					colocated = []estimator.ColocatedLoad{{Name: "quiet", Load: 0.2}}
				}
				tail := float64(target.Milliseconds()) / left * (1 + 0.05*random.NormFloat64())
				h.Observe(at, estimator.TailReport{
					Job: "watch", Image: "camera", Target: target, Colocated: colocated,
					Tail: time.Duration(math.Round(tail)) * time.Millisecond,
				})
			}
			check := func(what string, got, want, within float64) {
				if math.Abs(got-want) > within {
					t.Errorf("%s = %.2f, want %.2f within %.2f", what, got, want, within)
				}
			}
			check("effect of the loud task", h.Effect("camera", "loud"), test.wantLoud, test.loudWithin)
			check("effect of the quiet task", h.Effect("camera", "quiet"), test.wantQuiet, test.quietWithin)
			check("baseline", h.Baseline("watch"), baseline, test.baselineWithin)
			if bound := h.EffectBound("camera", "unknown"); bound <= h.Effect("camera", "unknown") {
				t.Errorf("bound of an unknown image = %.2f, want more than its mean", bound)
			}
			h.Forget("watch")
			if h.Baseline("watch") != h.Baseline("another") {
				t.Error("the baseline of a forgotten job is not the prior")
			}
		})
	}
}

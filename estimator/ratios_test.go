package estimator_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniashore.example/estimator"
)

// TestRatios guards against run times that follow the declared estimate although it is wrong, a few
// ends, outliers or ends that are long past.
func TestRatios(t *testing.T) {
	kind, other := estimator.Kind{Queue: "quotes", Image: "camera"}, estimator.Kind{Queue: "quotes", Image: "sorter"}
	const declared = 10 * time.Second
	tests := map[string]struct {
		// ratios are those of the ends, in their order, each as often as times says.
		ratios []float64
		times  []int
		ask    estimator.Kind
		want   time.Duration
	}{
		"nothing is known":             {ask: kind, want: declared},
		"a few ends":                   {ask: kind, ratios: []float64{3}, times: []int{7}, want: declared},
		"tasks take three times":       {ask: kind, ratios: []float64{3}, times: []int{8}, want: 3 * declared},
		"tasks take half the time":     {ask: kind, ratios: []float64{0.5}, times: []int{50}, want: declared / 2},
		"another image of the queue":   {ask: other, ratios: []float64{3}, times: []int{50}, want: declared},
		"outliers":                     {ask: kind, ratios: []float64{1, 900}, times: []int{30, 10}, want: declared},
		"a change that is long past":   {ask: kind, ratios: []float64{1, 4}, times: []int{1000, 200}, want: 4 * declared},
		"a ratio beyond the range":     {ask: kind, ratios: []float64{5000}, times: []int{20}, want: 1000 * declared},
		"a ratio below the resolution": {ask: kind, ratios: []float64{0.0001}, times: []int{20}, want: declared / 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ratios := estimator.NewRatios()
			for i, ratio := range test.ratios {
				for range test.times[i] {
					ratios.Observe(kind, declared, time.Duration(ratio*float64(declared)))
				}
			}
			// The histogram has one significant digit.
			if got := ratios.RunTime(test.ask, declared); math.Abs(float64(got-test.want)) > 0.1*float64(test.want) {
				t.Errorf("run time %s, want %s", got, test.want)
			}
		})
	}
}

// TestRatiosWithoutEstimate guards against ratios of tasks that declare no estimate or take no time.
func TestRatiosWithoutEstimate(t *testing.T) {
	ratios := estimator.NewRatios()
	for range 20 {
		ratios.Observe(estimator.Kind{}, 0, time.Second)
		ratios.Observe(estimator.Kind{}, time.Second, 0)
	}
	if _, learned := ratios.Quantile(estimator.Kind{}, 50); learned {
		t.Error("a ratio was learned")
	}
}

// TestRatiosAreBounded guards against memory that grows with the number of images: kinds beyond the bound
// use the declared estimate, and those that are known go on learning.
func TestRatiosAreBounded(t *testing.T) {
	const kinds, bound = 2000, 500
	ratios := estimator.NewRatios()
	for i := range kinds {
		for range 10 {
			ratios.Observe(estimator.Kind{Image: fmt.Sprint(i)}, time.Second, 2*time.Second)
		}
	}
	learned := 0
	for i := range kinds {
		if _, known := ratios.Quantile(estimator.Kind{Image: fmt.Sprint(i)}, 50); known {
			learned++
		}
	}
	if learned != bound {
		t.Errorf("%d kinds are known, want %d", learned, bound)
	}
}

// TestRatioQuantiles guards against quantiles outside the ratios that were seen.
func TestRatioQuantiles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seen := rapid.SliceOfN(rapid.Float64Range(0.02, 100), 8, 100).Draw(t, "ratios")
		ratios, lowest, highest := estimator.NewRatios(), math.Inf(1), 0.0
		for _, ratio := range seen {
			ratios.Observe(estimator.Kind{}, time.Minute, time.Duration(ratio*float64(time.Minute)))
			lowest, highest = min(lowest, ratio), max(highest, ratio)
		}
		previous := 0.0
		for _, percent := range []float64{10, 50, 90, 100} {
			got, learned := ratios.Quantile(estimator.Kind{}, percent)
			// The histogram has a resolution of 0.01 and one significant digit.
			if !learned || got < 0.9*lowest-0.01 || got > 1.1*highest+0.01 || got < previous {
				t.Errorf("quantile %v%% is %v, of ratios from %v to %v, after %v", percent, got, lowest, highest, previous)
			}
			previous = got
		}
	})
}

func BenchmarkRatios(b *testing.B) {
	ratios := estimator.NewRatios()
	for b.Loop() {
		ratios.Observe(estimator.Kind{Queue: "quotes"}, time.Second, 2*time.Second)
		ratios.RunTime(estimator.Kind{Queue: "quotes"}, time.Second)
	}
}

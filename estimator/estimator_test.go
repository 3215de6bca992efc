package estimator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniashore.example/estimator"
	"zinniashore.example/placer"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

var declared = placer.Size{Processors: 8000, Memory: 8 << 30}

func batchReport(task, template string, used float64) estimator.TaskReport {
	return estimator.TaskReport{
		Task:     task,
		Template: template,
		Class:    placer.ClassBatch,
		Age:      2 * time.Minute,
		Declared: declared,
		Usage: placer.Size{
			Processors: int64(used * float64(declared.Processors)),
			Memory:     int64(used * float64(declared.Memory)),
		},
	}
}

// TestReservedMemoryCoversWhatWasSeen checks, for reports in any order, that the reserved
// memory exceeds the peak usage, and that it is a multiple of the declared memory before
// the template is learned.
func TestReservedMemoryCoversWhatWasSeen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e estimator.Estimator
		highest := 0.0
		tasks := map[string]bool{}
		for i := range rapid.IntRange(0, 30).Draw(t, "reports") {
			used := rapid.Float64Range(0.01, 6).Draw(t, "used")
			task := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "task"))
			if e.Observe(estimator.Report{
				Worker: "w",
				Time:   start.Add(time.Duration(rapid.IntRange(-5, 5).Draw(t, "late")+i) * time.Second),
				Tasks:  []estimator.TaskReport{batchReport(task, "sort", used)},
			}) {
				highest = math.Max(highest, used)
				tasks[task] = true
			}
		}
		v := e.View(start)
		got := float64(v.Size("sort", declared).Memory) / float64(declared.Memory)
		if got < 1.1*highest {
			t.Fatalf("reserved memory is %.2f of the declared one, want at least 1.1 times the peak usage of %.2f", got, highest)
		}
		if len(tasks) < 3 && (got < 4 || v.Learned("sort")) {
			t.Fatalf("reserved memory is %.2f of the declared one after %d tasks, want an unlearned template with at least 4", got, len(tasks))
		}
	})
}

// TestOldReportsAreIgnored checks that a report counts only if it is newer than the last
// one of the same worker.
func TestOldReportsAreIgnored(t *testing.T) {
	var e estimator.Estimator
	at := func(worker string, seconds int) bool {
		return e.Observe(estimator.Report{Worker: worker, Time: start.Add(time.Duration(seconds) * time.Second)})
	}
	got := []bool{at("a", 10), at("a", 10), at("a", 5), at("b", 5), at("a", 11)}
	want := []bool{true, false, false, true, true}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("Observe returned %v, want %v", got, want)
	}
}

// observePairs observes a number of noisy reports of a service beside random co-located
// tasks, whose true excess slowdowns are given by template.
func observePairs(e *estimator.Estimator, truth map[string]float64, reports int) time.Time {
	random := rand.New(rand.NewPCG(1, 2))
	at := start
	for i := range reports {
		at = at.Add(6 * time.Second)
		excess := 0.01 * random.ExpFloat64()
		report := estimator.Report{Worker: fmt.Sprint("w", i%5), Time: at}
		for _, template := range []string{"quiet", "noisy", "loud"} {
			if random.IntN(2) == 0 {
				continue
			}
			load := 0.5 + random.Float64()
			excess += load * truth[template]
			report.Tasks = append(report.Tasks, batchReport(template+"-1", template, load))
		}
		report.Tasks = append(report.Tasks, estimator.TaskReport{
			Task: "shop-1", Template: "shop", Class: placer.ClassService, Age: time.Hour,
			Declared: declared, Usage: declared, Slowdown: 1 + excess,
		})
		e.Observe(report)
	}
	return at
}

// TestPairsAreLearned checks that estimates come within a tenth of the true slowdown, and
// that they decay to the prior without new reports.
func TestPairsAreLearned(t *testing.T) {
	truth := map[string]float64{"quiet": 0.01, "noisy": 0.1, "loud": 0.3}
	var e estimator.Estimator
	cold := e.View(start).Slowdown("shop", []string{"quiet"})
	last := observePairs(&e, truth, 400)
	learned, faded := e.View(last), e.View(last.Add(20*24*time.Hour))
	sum := 1.0
	for template, excess := range truth {
		got := learned.Slowdown("shop", []string{template})
		sum += got - 1
		if tolerance := 0.01 + 0.1*excess; math.Abs(got-1-excess) > tolerance {
			t.Errorf("the slowdown beside %s is %.3f, want the true %.3f", template, got, 1+excess)
		}
		if back := faded.Slowdown("shop", []string{template}); math.Abs(back-cold) > 0.005 {
			t.Errorf("the slowdown beside %s is %.3f after weeks, want the prior %.3f", template, back, cold)
		}
	}
	if got := learned.Slowdown("shop", []string{"quiet", "noisy", "loud"}); math.Abs(got-sum) > 1e-9 {
		t.Errorf("the slowdown beside all is %.3f, want the sum %.3f", got, sum)
	}
	if cold <= 1.03 || learned.Measured("shop-1") <= 1 || faded.Measured("shop-1") != 1 {
		t.Errorf("the prior is %.3f, want above 1.03; the measured slowdown is %.3f, want above 1, and %.3f weeks later, want 1",
			cold, learned.Measured("shop-1"), faded.Measured("shop-1"))
	}
}

// TestViewsDoNotChange checks that later reports and completions do not change a view.
func TestViewsDoNotChange(t *testing.T) {
	var e estimator.Estimator
	observePairs(&e, map[string]float64{"loud": 0.3}, 20)
	v := e.View(start)
	state := func() string {
		return fmt.Sprint(v.Slowdown("shop", []string{"loud"}), v.Size("loud", declared), v.Measured("shop-1"),
			v.Remaining("loud", time.Hour, 0))
	}
	before := state()
	observePairs(&e, map[string]float64{"loud": 0.9}, 400)
	for range 20 {
		e.ObserveCompletion(estimator.Completion{Template: "loud", Declared: time.Hour, Took: time.Minute})
	}
	if after := state(); after != before {
		t.Errorf("the view changed from %s to %s", before, after)
	}
}

func TestRunTimes(t *testing.T) {
	cases := map[string]struct {
		declared float64
		// took is the run time in hours; zero draws widely different ones.
		took float64
		ask  time.Duration
		ran  time.Duration
		low  time.Duration
		high time.Duration
	}{
		"nothing learned: as declared":         {ask: time.Hour, low: time.Hour, high: time.Hour},
		"declared exactly: as declared":        {1, 0, 3 * time.Hour, 0, 175 * time.Minute, 185 * time.Minute},
		"declared a quarter of the truth":      {0.25, 1, 15 * time.Minute, 0, 55 * time.Minute, 80 * time.Minute},
		"declared four times the truth":        {4, 1, 4 * time.Hour, 0, 55 * time.Minute, 80 * time.Minute},
		"the time that it ran is subtracted":   {1, 1, time.Hour, 30 * time.Minute, 25 * time.Minute, 50 * time.Minute},
		"longer than expected: some more time": {1, 1, time.Hour, 5 * time.Hour, 12 * time.Minute, 20 * time.Minute},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var e estimator.Estimator
			random := rand.New(rand.NewPCG(1, 2))
			for range 50 {
				took := c.took * math.Exp(0.1*random.NormFloat64())
				if c.took == 0 && c.declared > 0 {
					took = math.Exp(random.NormFloat64())
				}
				e.ObserveCompletion(estimator.Completion{
					Template: "sort",
					Declared: time.Duration(c.declared * took * float64(time.Hour)),
					Took:     time.Duration(took * float64(time.Hour)),
				})
			}
			got := e.View(start).Remaining("sort", c.ask, c.ran)
			if got < c.low || got > c.high {
				t.Errorf("Remaining is %s, want %s to %s", got, c.low, c.high)
			}
		})
	}
}

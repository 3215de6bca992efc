package standin

import (
	"maps"
	"testing"
	"time"
)

const (
	gangTestTimeout = 200 * time.Millisecond
	gangTestLength  = 50 * time.Millisecond
	gangTestWait    = 5 * time.Second
)

// TestPlatformGangs guards against gangs of the stand-in that end otherwise than those of the
// platform, which would hide faults of the product.
func TestPlatformGangs(t *testing.T) {
	tests := map[string]struct {
		starts  []string
		stopped string
		fails   string
		want    map[string]string
	}{
		"all present":       {starts: []string{"j.0.0.0", "j.0.0.1"}, want: map[string]string{"j.0.0.0": "done", "j.0.0.1": "done"}},
		"one is missing":    {starts: []string{"j.0.0.0"}, want: map[string]string{"j.0.0.0": "alone"}},
		"one is stopped":    {starts: []string{"j.0.0.0", "j.0.0.1"}, stopped: "j.0.0.1", want: map[string]string{"j.0.0.0": "broken", "j.0.0.1": "stopped"}},
		"one fails":         {starts: []string{"j.0.0.0", "j.0.0.1"}, fails: "j.0.0.1", want: map[string]string{"j.0.0.0": "broken", "j.0.0.1": "failed"}},
		"a step without it": {starts: []string{"j.0.1.0"}, want: map[string]string{"j.0.1.0": "done"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ledger := &PlatformLedger{}
			gangs := &PlatformGangs{Timeout: gangTestTimeout, Size: func(task string) int { return map[string]int{"j.0.0": 2}[task[:5]] }}
			outcome := func(task string, _ int64) string {
				if task == test.fails {
					return "failed"
				}
				return "done"
			}
			var workers []*PlatformWorker
			for _, task := range test.starts {
				w := &PlatformWorker{Length: gangTestLength, OutcomeOf: outcome, Ledger: ledger, Gangs: gangs}
				w.execute("run-start", platformCommand{Task: task, Run: 1, Deadline: time.Hour.Milliseconds()}, 0)
				if task == test.stopped {
					w.execute("run-stop", platformCommand{Task: task, Run: 1}, 0)
				}
				workers = append(workers, w)
			}
			got := map[string]string{}
			for deadline := time.Now().Add(gangTestWait); len(got) < len(test.want) && time.Now().Before(deadline); time.Sleep(tickPeriod) {
				for _, w := range workers {
					w.Advance()
				}
				for _, e := range ledger.Events() {
					if e.Kind == "end" {
						got[e.Task] = e.Outcome
					}
				}
			}
			if !maps.Equal(got, test.want) {
				t.Errorf("ends %v, want %v", got, test.want)
			}
		})
	}
}

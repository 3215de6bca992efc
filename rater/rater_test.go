package rater_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniashore.example/rater"
)

var start = time.UnixMilli(1_000_000)

const (
	workers  = 10
	interval = 250 * time.Millisecond
)

// fleet feeds a rater with the paces of workers.
type fleet struct {
	rater *rater.Rater
	now   time.Time
	// slowdown returns how much slower a worker is.
	slowdown func(worker int) float64
	// error returns by what the declared estimate of a run of a worker is wrong.
	error func(worker, run int) float64
	// work returns the work of a run of a worker.
	work func(worker, run int) rater.Work
	runs int
	// changes are the changes of status that Rate has reported.
	changes []string
}

func newFleet() *fleet {
	return &fleet{
		rater: rater.New(), now: start, runs: 3,
		slowdown: func(int) float64 { return 1 },
		error:    func(int, int) float64 { return 1 },
		work: func(int, int) rater.Work {
			return rater.Work{Queue: "quotes", Image: "sorter", Job: "a", Measure: rater.MeasureProgress}
		},
	}
}

func workerID(i int) string { return fmt.Sprint("w", i) }

// observe adds a sample of each run of a worker.
func (f *fleet) observe(w int) {
	for run := range f.runs {
		f.rater.Observe(f.now, rater.Sample{
			Worker: workerID(w), Run: int64(w*100 + run), Work: f.work(w, run),
			Pace: f.error(w, run) / f.slowdown(w), Window: time.Second,
		})
	}
}

// advance lets all workers show their paces for a time, and rates them.
func (f *fleet) advance(span time.Duration) {
	for end := f.now.Add(span); f.now.Before(end); {
		f.now = f.now.Add(interval)
		for w := range workers {
			f.observe(w)
		}
		f.rate()
	}
}

// rest lets time pass without any sample.
func (f *fleet) rest(span time.Duration) {
	for end := f.now.Add(span); f.now.Before(end); {
		f.now = f.now.Add(interval)
		f.rate()
	}
}

func (f *fleet) rate() {
	for w := range workers {
		if rating, changed := f.rater.Rate(f.now, workerID(w)); changed {
			f.changes = append(f.changes, workerID(w)+" "+string(rating.Status))
		}
	}
}

func (f *fleet) require(t *testing.T, worker int, want rater.Status) rater.Rating {
	t.Helper()
	rating := f.rater.Current(workerID(worker))
	if rating.Status != want {
		t.Errorf("%s is %s after %v, want %s", workerID(worker), rating.Status, f.now.Sub(start), want)
	}
	return rating
}

// TestSlowWorkers guards against a slow worker that isn't found within 2 s, and one that stays
// slow once its runs show otherwise.
func TestSlowWorkers(t *testing.T) {
	f := newFleet()
	f.advance(2 * time.Second)
	f.slowdown = func(w int) float64 {
		if w < workers/5 {
			return 5
		}
		return 1
	}
	f.advance(2 * time.Second)
	for w := range workers {
		if w >= workers/5 {
			f.require(t, w, rater.StatusNormal)
		} else if rating := f.require(t, w, rater.StatusSlow); rating.Slowdown < 4.9 || rating.Slowdown > 5.1 {
			t.Errorf("slowdown %v, want 5", rating.Slowdown)
		}
	}
	f.slowdown = func(int) float64 { return 1 }
	f.advance(time.Second)
	f.require(t, 0, rater.StatusNormal)
	if len(f.changes) != 4 {
		t.Errorf("changes %v, want one to slow and one to normal of each of two workers", f.changes)
	}
}

// TestNormalWorkers guards against workers that are found slow although they aren't.
func TestNormalWorkers(t *testing.T) {
	job := func(name func(worker, run int) string, step func(worker int) int) func(int, int) rater.Work {
		return func(worker, run int) rater.Work {
			return rater.Work{Queue: "quotes", Image: "sorter", Job: name(worker, run), Step: step(worker), Measure: rater.MeasureProgress}
		}
	}
	first := func(int) int { return 0 }
	tests := map[string]func(f *fleet){
		"all workers equally slow": func(f *fleet) { f.slowdown = func(int) float64 { return 5 } },
		"all workers become slow one after the other within a second": func(f *fleet) {
			f.slowdown = func(w int) float64 {
				if f.now.Sub(start) > 5*time.Second+time.Duration(w)*100*time.Millisecond {
					return 5
				}
				return 1
			}
		},
		"workers that differ by less than half": func(f *fleet) {
			f.slowdown = func(w int) float64 { return 1 + 0.4*float64(w)/workers }
		},
		"estimates of jobs that are wrong by a factor of four": func(f *fleet) {
			f.work = job(func(worker, _ int) string { return fmt.Sprint(worker) }, first)
			f.error = func(worker, _ int) float64 { return 0.5 + 0.5*float64(worker%4) }
		},
		"one job with a wrong estimate whose tasks run on one worker": func(f *fleet) {
			f.work = job(func(worker, _ int) string { return fmt.Sprint(worker) }, first)
			f.error = func(worker, _ int) float64 {
				if worker == 3 {
					return 0.1
				}
				return 1
			}
		},
		"estimates that are wrong by queue": func(f *fleet) {
			f.work = func(worker, run int) rater.Work {
				return rater.Work{Queue: fmt.Sprint(worker % 2), Job: fmt.Sprint(worker, run), Measure: rater.MeasureProgress}
			}
			f.error = func(worker, _ int) float64 { return 1 / (1 + 9*float64(worker%2)) }
		},
		"one run alone": func(f *fleet) {
			f.error = func(worker, run int) float64 {
				if worker == 0 && run == 0 {
					return 0.1
				}
				return 1
			}
		},
		"too few workers to compare": func(f *fleet) {
			f.work = func(worker, _ int) rater.Work {
				return rater.Work{Queue: fmt.Sprint(worker / 2), Job: fmt.Sprint(worker / 2), Measure: rater.MeasureProgress}
			}
			f.slowdown = func(w int) float64 { return float64(1 + 4*(w%2)) }
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet()
			change(f)
			f.advance(15 * time.Second)
			if len(f.changes) > 0 {
				t.Errorf("changes: %v, want none", f.changes)
			}
		})
	}
}

// TestProbing guards against a slow worker that is given up, and one that gets much work at once
// although it may still be slow.
func TestProbing(t *testing.T) {
	tests := map[string]struct {
		stillSlow bool
		probed    bool
		want      rater.Status
	}{
		"the probe is slow":   {stillSlow: true, probed: true, want: rater.StatusSlow},
		"the probe is normal": {probed: true, want: rater.StatusNormal},
		"no probe":            {want: rater.StatusProbed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet()
			slow := true
			f.slowdown = func(w int) float64 {
				if w == 0 && slow {
					return 5
				}
				return 1
			}
			f.advance(3 * time.Second)
			f.require(t, 0, rater.StatusSlow)
			f.rest(5 * time.Second)
			if rating := f.require(t, 0, rater.StatusProbed); rating.Slowdown != 1 {
				t.Errorf("the slowdown before the probe is %v, want 1", rating.Slowdown)
			}
			f.rater.Started(f.now, workerID(0))
			if rating := f.rater.Current(workerID(0)); rating.Slowdown < 2 {
				t.Errorf("the slowdown during the probe is %v, want that from before", rating.Slowdown)
			}
			if test.probed {
				slow = test.stillSlow
				f.runs = 1
				f.advance(2 * interval)
			}
			f.require(t, 0, test.want)
			f.rest(40 * time.Second)
			f.require(t, 0, rater.StatusNormal)
		})
	}
}

// TestUnequalSpeeds guards against normal workers that are found slow, whatever the order of the
// samples, the noise of single runs and the number of slow workers.
func TestUnequalSpeeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		slow := rapid.IntRange(0, workers/3).Draw(t, "slow")
		factor := rapid.Float64Range(3, 10).Draw(t, "factor")
		f.runs = rapid.IntRange(2, 6).Draw(t, "runs")
		f.slowdown = func(w int) float64 {
			if w < slow {
				return factor
			}
			return 1
		}
		f.error = func(int, int) float64 { return rapid.Float64Range(0.8, 1.2).Draw(t, "noise") }
		f.advance(4 * time.Second)
		for w := range workers {
			want := rater.StatusNormal
			if w < slow {
				want = rater.StatusSlow
			}
			if got := f.rater.Current(workerID(w)).Status; got != want {
				t.Fatalf("%s is %s, want %s", workerID(w), got, want)
			}
		}
	})
}

// TestTracks guards against paces that rounding or a missing beginning makes wrong.
func TestTracks(t *testing.T) {
	type row struct {
		after   time.Duration
		percent int
	}
	tests := map[string]struct {
		track    rater.Track
		estimate time.Duration
		usual    float64
		rows     []row
		// least and most bound the pace of each window that shows a pace.
		windows     int
		least, most float64
	}{
		"normal run":                      {track: rater.NewTrack(0), estimate: 10 * time.Second, rows: []row{{time.Second, 10}, {2 * time.Second, 20}}, windows: 2, least: 0.99, most: 1.01},
		"first listing of an adopted run": {estimate: 10 * time.Second, rows: []row{{time.Second, 60}}},
		"too short a time":                {track: rater.NewTrack(0), estimate: time.Second, rows: []row{{200 * time.Millisecond, 20}}},
		"too little progress for a pace":  {track: rater.NewTrack(0), estimate: 100 * time.Second, usual: 1, rows: []row{{time.Second, 1}, {2 * time.Second, 2}}},
		"slow run with a usual pace":      {track: rater.NewTrack(0), estimate: 10 * time.Second, usual: 1, rows: []row{{time.Second, 2}}, windows: 1, least: 0.2, most: 0.4},
		"slow run without a usual pace":   {track: rater.NewTrack(0), estimate: 10 * time.Second, rows: []row{{time.Second, 2}}},
		"progress that falls":             {track: rater.NewTrack(0), estimate: 10 * time.Second, rows: []row{{time.Second, 10}, {2 * time.Second, 5}}, windows: 1, least: 0.99, most: 1.01},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			track, windows := test.track, 0
			for _, row := range test.rows {
				var pace float64
				track, pace, _ = track.Advance(row.after, row.percent, test.estimate, test.usual)
				if pace == 0 {
					continue
				}
				windows++
				if pace < test.least || pace > test.most {
					t.Errorf("pace %v after %v, want %v to %v", pace, row.after, test.least, test.most)
				}
			}
			if windows != test.windows {
				t.Errorf("%d windows, want %d", windows, test.windows)
			}
		})
	}
}

// Package rater learns how fast workers are, from the progress and the ends of their runs. It
// compares each worker with the others that do the same work, so that neither a wrong estimate
// nor a load on all workers makes one appear slow. It does no I/O and reads no clock, and is kept
// in memory only.
package rater

import (
	"slices"
	"time"
)

const (
	// evidenceAge is how long a sample counts. A slow worker without newer samples is probed.
	// Samples older than currentAge count only where newer ones don't suffice; runs in progress
	// give one in each wait of a poll, which is 1 s.
	evidenceAge = 4 * time.Second
	currentAge  = 1500 * time.Millisecond
	// confirmation is how long a worker has to appear slow before it is found slow. When all
	// workers become slow, each of them reports within one wait of a poll, which is 1 s.
	confirmation = time.Second
	// slowFrom is the slowdown from which a worker is slow, normalBelow the one below which a
	// slow worker is normal again. Runs of the same work differ by less without a slow worker.
	slowFrom    = 2.0
	normalBelow = 1.5
	// minRuns is the least number of runs for a worker to be found slow. If they are compared with
	// tasks of other jobs, whose estimates are off by other factors, it takes clearRuns or a
	// slowdown of clearlySlow.
	minRuns     = 2
	clearRuns   = 3
	clearlySlow = 3.0
	// probeTimeout is how long a probing run holds off other work without a sample. After
	// maxProbing without one the worker is normal.
	probeTimeout = 3 * time.Second
	maxProbing   = 15 * time.Second
	// pruneInterval separates deletions of outdated samples.
	pruneInterval = time.Second
)

// Status is what is known of the speed of a worker.
type Status string

// Statuses of a worker.
const (
	StatusNormal Status = "normal"
	StatusSlow   Status = "slow"
	// StatusProbed: the worker was slow and has shown nothing since. It gets one run at a time.
	StatusProbed Status = "probed"
)

// Rating is the speed of a worker.
type Rating struct {
	Status Status
	// Slowdown is how much longer a run is expected to take than on a normal worker; at least 1.
	Slowdown float64
	// Former is the slowdown that was last known of a worker that isn't normal; at least 1.
	Former float64
}

// normal is the rating of a normal worker.
var normal = Rating{Status: StatusNormal, Slowdown: 1, Former: 1}

// slow returns the rating of a slow worker.
func slow(slowdown float64) Rating {
	return Rating{Status: StatusSlow, Slowdown: slowdown, Former: slowdown}
}

// Work identifies the work of a run. Runs of the same step are compared first, then those of the
// same queue and image.
type Work struct {
	Queue, Image string
	Job          string
	Step         int
	// Measure is what the pace measures. Paces of different measures aren't compared.
	Measure Measure
}

// Measure is what a pace measures.
type Measure string

// Measures of a pace.
const (
	// MeasureProgress is the estimated time of the work that was done, per time.
	MeasureProgress Measure = "progress"
	// MeasureStartup is the progress of the startup of a long-running task, per time.
	MeasureStartup Measure = "startup"
	// MeasureTail is the target of a tail latency relative to the latency.
	MeasureTail Measure = "tail"
)

// Sample is a measured pace of a run.
type Sample struct {
	Worker string
	Run    int64
	Work   Work
	// Pace is compared with that of other runs of the same work; above 0.
	Pace float64
	// Window is the time over which it was measured.
	Window time.Duration
}

// Rater learns the speed of workers. It is not safe for concurrent use.
type Rater struct {
	groups   map[groupKey]*group
	workers  map[string]*worker
	prunedAt time.Time
}

// worker is what is known of a worker.
type worker struct {
	// samples are the newest samples of each run.
	samples map[int64]timedSample
	rating  Rating
	// slowSince is since when a normal worker appears slow.
	slowSince time.Time
	// unrated is true if samples have come since the last Rate.
	unrated bool
	// shownAt is when the newest sample came that could be compared.
	shownAt time.Time
	// probedSince is when the worker became StatusProbed, probeStartedAt when the probing run
	// started; zero if none is on its way.
	probedSince, probeStartedAt time.Time
}

// timedSample is a sample and when it was observed.
type timedSample struct {
	Sample
	at time.Time
}

// within reports whether a sample has at most an age.
func (s timedSample) within(now time.Time, age time.Duration) bool { return now.Sub(s.at) <= age }

// New returns a Rater that counts every worker as normal.
func New() *Rater {
	return &Rater{groups: map[groupKey]*group{}, workers: map[string]*worker{}}
}

// Observe adds a sample.
func (r *Rater) Observe(now time.Time, s Sample) {
	w, known := r.workers[s.Worker]
	if !known {
		w = &worker{samples: map[int64]timedSample{}, rating: normal}
		r.workers[s.Worker] = w
	}
	w.samples[s.Run] = timedSample{Sample: s, at: now}
	w.unrated = true
	for _, key := range s.Work.groups() {
		r.group(key).add(now, s)
	}
}

// Usual returns the usual pace of a kind of work, and false if it isn't known.
func (r *Rater) Usual(now time.Time, work Work) (float64, bool) {
	c := r.comparison(now, work)
	return c.usual, c.usual > 0
}

// Started records that a run started on a worker. If the worker is being probed, that is its probing run.
func (r *Rater) Started(now time.Time, id string) {
	if w, known := r.workers[id]; known && w.rating.Status == StatusProbed && w.probeStartedAt.IsZero() {
		w.probeStartedAt = now
	}
}

// Forget drops what is known of a worker.
func (r *Rater) Forget(id string) { delete(r.workers, id) }

// Current returns the rating of a worker as of the last Rate. A probed worker has a slowdown
// only while its probing run is on its way.
func (r *Rater) Current(id string) Rating {
	w, known := r.workers[id]
	switch {
	case !known:
		return normal
	case w.rating.Status == StatusProbed && w.probeStartedAt.IsZero():
		return Rating{Status: StatusProbed, Slowdown: 1, Former: w.rating.Former}
	}
	return w.rating
}

// Rate updates the rating of a worker and returns it. changed reports whether its status has
// changed.
func (r *Rater) Rate(now time.Time, id string) (rating Rating, changed bool) {
	r.prune(now)
	w, known := r.workers[id]
	if !known || w.rating.Status == StatusNormal && w.slowSince.IsZero() && !w.unrated {
		return r.Current(id), false
	}
	w.unrated = false
	before := w.rating.Status
	e := r.evidence(now, w, currentAge)
	if !e.enough() {
		e = r.evidence(now, w, evidenceAge)
	}
	if e.newest.After(w.shownAt) {
		w.shownAt = e.newest
	}
	switch before {
	case StatusNormal:
		w.rateNormal(now, e)
	case StatusSlow:
		w.rateSlow(now, e)
	case StatusProbed:
		w.rateProbed(now, e)
	}
	return r.Current(id), w.rating.Status != before
}

// rateNormal finds a worker slow that has looked so for some time.
func (w *worker) rateNormal(now time.Time, e evidence) {
	switch {
	case !e.enough() || e.median() < slowFrom:
		w.slowSince = time.Time{}
	case w.slowSince.IsZero():
		w.slowSince = now
	case now.Sub(w.slowSince) >= confirmation:
		w.rating = slow(e.median())
	}
}

// rateSlow updates a slow worker, which is probed once it has shown nothing for evidenceAge.
func (w *worker) rateSlow(now time.Time, e evidence) {
	switch {
	case now.Sub(w.shownAt) > evidenceAge:
		w.rating.Status = StatusProbed
		w.probedSince, w.probeStartedAt = now, time.Time{}
	case !e.enough():
	case e.median() < normalBelow:
		w.setNormal()
	default:
		w.rating = slow(e.median())
	}
}

// rateProbed applies what the probing run has shown. One sample suffices, because several have
// shown before that the worker was slow.
func (w *worker) rateProbed(now time.Time, e evidence) {
	switch {
	case len(e.slowdowns) > 0 && e.newest.After(w.probedSince) && e.median() >= slowFrom:
		w.rating = slow(e.median())
	case len(e.slowdowns) > 0 && e.newest.After(w.probedSince), now.Sub(w.probedSince) > maxProbing:
		w.setNormal()
	case now.Sub(w.probeStartedAt) > probeTimeout:
		w.probeStartedAt = time.Time{}
	}
}

func (w *worker) setNormal() {
	w.rating = normal
	w.slowSince = time.Time{}
}

// evidence is how much slower than elsewhere the runs of a worker are.
type evidence struct {
	slowdowns []float64
	// stepRuns counts those that were compared with tasks of the same step.
	stepRuns int
	newest   time.Time
}

// enough reports whether the evidence suffices for a rating.
func (e evidence) enough() bool {
	switch {
	case len(e.slowdowns) < minRuns:
		return false
	case e.stepRuns >= minRuns || len(e.slowdowns) >= clearRuns:
		return true
	}
	return e.median() >= clearlySlow || e.median() < normalBelow
}

// median returns the lower median, so that a majority of runs is needed for a high one.
func (e evidence) median() float64 {
	slices.Sort(e.slowdowns)
	return e.slowdowns[(len(e.slowdowns)-1)/2]
}

// evidence compares the samples of a worker up to an age with the same work elsewhere. Of the runs
// of a job whose estimate may be too low one counts.
func (r *Rater) evidence(now time.Time, w *worker, age time.Duration) evidence {
	var e evidence
	doubtful := map[string]timedSample{}
	for _, s := range w.samples {
		if !s.within(now, age) {
			continue
		}
		c := r.comparison(now, s.Work)
		switch {
		case c.usual == 0:
		case c.sound:
			e.add(s, c)
		default:
			if other, found := doubtful[s.Work.Job]; !found || s.newer(other) {
				doubtful[s.Work.Job] = s
			}
		}
	}
	for _, s := range doubtful {
		e.add(s, r.comparison(now, s.Work))
	}
	return e
}

// comparison is what the pace of a run is compared with.
type comparison struct {
	// usual is the usual pace, 0 if it isn't known.
	usual float64
	// sound is true unless that is the pace of other jobs, and the estimate of the job may be much
	// too low. byStep is true if it is known from several workers that it isn't.
	sound, byStep bool
}

// comparison returns what a kind of work is compared with: the tasks of the same step, or those of
// the same queue and image if too few workers run the step. It is also the latter if most workers of
// the step are slower than those but minNormalWorkers aren't, as most of them may be slow then.
func (r *Rater) comparison(now time.Time, work Work) comparison {
	step, known := r.groups[work.stepGroup()]
	if !known {
		return comparison{}
	}
	median, byStep := step.median(now)
	classMedian := 0.0
	if class, known := r.groups[work.classGroup()]; known {
		classMedian, _ = class.median(now)
	}
	least := classMedian / normalBelow
	switch {
	case byStep && (median >= least || step.best(now, minNormalWorkers) < least):
		return comparison{usual: median, sound: true, byStep: true}
	case byStep:
		return comparison{usual: classMedian, sound: true, byStep: true}
	}
	return comparison{usual: classMedian, sound: step.best(now, 1) >= least}
}

// newer reports whether a sample is newer than another one.
func (s timedSample) newer(other timedSample) bool {
	return s.at.After(other.at) || s.at.Equal(other.at) && s.Run > other.Run
}

func (e *evidence) add(s timedSample, c comparison) {
	if c.byStep {
		e.stepRuns++
	}
	e.slowdowns = append(e.slowdowns, c.usual/s.Pace)
	if s.at.After(e.newest) {
		e.newest = s.at
	}
}

// prune deletes what is outdated.
func (r *Rater) prune(now time.Time) {
	if now.Sub(r.prunedAt) < pruneInterval {
		return
	}
	r.prunedAt = now
	for key, g := range r.groups {
		if g.prune(now); len(g.paces) == 0 {
			delete(r.groups, key)
		}
	}
	for id, w := range r.workers {
		for run, s := range w.samples {
			if !s.within(now, evidenceAge) {
				delete(w.samples, run)
			}
		}
		if len(w.samples) == 0 && w.rating.Status == StatusNormal {
			delete(r.workers, id)
		}
	}
}

package dispatcher

import (
	"math"
	"time"
)

// choose returns the worker that suits a task best, or nil.
func (c *Cell) choose(now time.Time, t *task) *worker {
	var best *worker
	var bestScore float64
	for _, w := range c.workers {
		if !c.usable(now, w, t) {
			continue
		}
		score := scoreWorker(w, t)
		if t.step.step.Filler {
			pressure := c.pressure(w, t.step.step)
			if math.IsInf(pressure, 1) {
				if !t.starved(now) {
					continue
				}
				pressure = starvedPressure
			}
			score += weightPressure * pressure
		}
		if best == nil || score > bestScore ||
			score == bestScore && w.registration.ID < best.registration.ID {
			best, bestScore = w, score
		}
	}
	return best
}

const (
	// starvedLimit is how long a filler of a job without any run waits for a place
	// where it presses nobody. Then it starts anywhere, and is paced there.
	starvedLimit = 4 * time.Second
	// starvedPressure is reckoned where a filler presses too much.
	starvedPressure = 10.0
	// idleShare is the part of its processors that a filler needs idle,
	// starvedIdleShare that of a starved one.
	idleShare        = 0.8
	starvedIdleShare = 0.2
)

// starved reports whether a filler has waited too long, and nothing else of its
// job runs.
func (t *task) starved(now time.Time) bool {
	return t.step.step.Filler && t.job().running == 0 && t.queued && now.Sub(t.readyAt) > starvedLimit
}

func (t *task) idleShare(now time.Time) float64 {
	if t.starved(now) {
		return starvedIdleShare
	}
	return idleShare
}

// usable reports whether a worker may run a task now.
func (c *Cell) usable(now time.Time, w *worker, t *task) bool {
	step := t.step.step
	switch {
	case !c.sound(now, w) || now.Before(w.fullUntil):
		return false
	case t.movedFrom == w.registration.ID && now.Sub(t.movedAt) < movedPause:
		return false
	case w.reserved != nil && w.reserved != t:
		return false
	case !w.fits(step, t.idleShare(now)):
		return false
	}
	return w.suits(t)
}

// sound reports whether a worker takes starts at all.
func (c *Cell) sound(now time.Time, w *worker) bool {
	return w.listed && w.stored && w.fenced && w.registration.Phase == PhaseReady &&
		!now.Before(w.quarantinedUntil) && now.Sub(w.answeredAt) <= silenceInterval+c.Limits.LookWait
}

// runsOf counts the runs of a step on the worker.
func (w *worker) runsOf(s *stepState) int {
	count := 0
	for _, r := range w.runs {
		if r.task.step == s {
			count++
		}
	}
	return count
}

// Weights of a worker's score.
const (
	weightDataRack = 10.0
	weightAvoided  = -20.0
	weightPressure = -1.0
	weightIdle     = 1.0
	weightFiller   = -0.3
	weightImage    = 4.0
	weightPacked   = 1.0
	weightHole     = 1.0
)

// scoreWorker returns how well a worker suits a task; more is better.
func scoreWorker(w *worker, t *task) float64 {
	step := t.step.step
	score := 0.0
	if step.DataRack != "" && w.has(step.DataRack) {
		score += weightDataRack
	}
	if t.avoids(w.registration.ID) {
		score += weightAvoided
	}
	capacity := float64(max(w.registration.Capacity.MilliProcessors, 1))
	if step.TailTarget > 0 {
		score += weightFiller * float64(w.fillers)
		score += weightImage * w.likeness(step.Image)
		return score + weightPacked*float64(w.used.MilliProcessors)/capacity
	}
	if step.Filler {
		return score + weightIdle*float64(w.idle())/capacity
	}
	return score - weightHole*float64(w.free().MilliProcessors)/capacity
}

// likeness returns the part of the worker's lasting tasks that run an image. Like
// ones together leave other workers to the fillers that press them; a worker
// without any counts as half alike.
func (w *worker) likeness(image string) float64 {
	if w.servers == 0 {
		return 0.5
	}
	like := 0
	for _, r := range w.runs {
		if s := r.task.step.step; s.TailTarget > 0 && s.Image == image {
			like++
		}
	}
	return float64(like) / float64(w.servers)
}

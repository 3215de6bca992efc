package rater

import (
	"slices"
	"time"
)

const (
	// minWorkers is the least number of workers whose median pace is the usual one. Within a step
	// it is minStepWorkers: most of fewer may be slow ones, which are next to each other when a
	// rack is slow.
	minWorkers     = 3
	minStepWorkers = 5
	// minNormalWorkers is how many workers have to reach the pace of other jobs at a step for the
	// others to count as slow rather than the estimate as wrong.
	minNormalWorkers = 2
	// medianAge is how long a computed median is used.
	medianAge = 200 * time.Millisecond
)

// groupKey identifies work that is compared.
type groupKey struct {
	queue, image, job string
	step              int
	measure           Measure
}

// groups returns the groups in which the work is compared, the narrowest first.
func (w Work) groups() []groupKey {
	return []groupKey{w.stepGroup(), w.classGroup()}
}

// classGroup returns the group of the tasks of the same queue and image.
func (w Work) classGroup() groupKey {
	return groupKey{queue: w.Queue, image: w.Image, measure: w.Measure}
}

// stepGroup returns the group of the tasks of the same step.
func (w Work) stepGroup() groupKey { return groupKey{job: w.Job, step: w.Step, measure: w.Measure} }

// group holds the newest pace of each worker at the same work.
type group struct {
	// least is the least number of workers for a usual pace.
	least int
	paces map[string]timedPace
	// usual is the median as of medianAt.
	usual    float64
	medianAt time.Time
}

// timedPace is a pace that counts for a time.
type timedPace struct {
	value float64
	// until is the time until which the pace counts.
	until time.Time
}

func (r *Rater) group(key groupKey) *group {
	g, known := r.groups[key]
	if !known {
		g = &group{least: minWorkers, paces: map[string]timedPace{}}
		if key.job != "" {
			g.least = minStepWorkers
		}
		r.groups[key] = g
	}
	return g
}

// add records the pace of a worker. It counts until the next one can be expected.
func (g *group) add(now time.Time, s Sample) {
	g.paces[s.Worker] = timedPace{value: s.Pace, until: now.Add(max(evidenceAge, 2*s.Window))}
	if len(g.paces) <= g.least {
		g.medianAt = time.Time{}
	}
}

// median returns the lower median of the workers' paces, and false if too few are known. The
// lower one makes none of two equal halves appear slow.
func (g *group) median(now time.Time) (float64, bool) {
	if now.Sub(g.medianAt) > medianAge {
		g.prune(now)
		g.medianAt, g.usual = now, 0
		if len(g.paces) >= g.least {
			values := make([]float64, 0, len(g.paces))
			for _, p := range g.paces {
				values = append(values, p.value)
			}
			slices.Sort(values)
			g.usual = values[(len(values)-1)/2]
		}
	}
	return g.usual, g.usual > 0
}

// best returns the pace that a number of workers reach, which is 1 or 2.
func (g *group) best(now time.Time, workers int) float64 {
	var first, second float64
	for _, p := range g.paces {
		if !now.After(p.until) {
			first, second = max(first, p.value), max(second, min(first, p.value))
		}
	}
	if workers > 1 {
		return second
	}
	return first
}

func (g *group) prune(now time.Time) {
	for id, p := range g.paces {
		if now.After(p.until) {
			delete(g.paces, id)
		}
	}
}

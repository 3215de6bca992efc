package dispatcher

import (
	"math"
	"slices"
	"time"

	"zinniashore.example/estimator"
)

const (
	// headroomMargin is the headroom that is kept above the one at the target.
	headroomMargin = 0.3
	// leastPaceChange is the change of a pace that is worth an order, in percent.
	leastPaceChange = 15
	paceInterval    = 300 * time.Millisecond
	// overLimit is how long a task may be over its target before all fillers
	// beside it are halted.
	overLimit = 1500 * time.Millisecond
	// slowPaceLimit is the pace below which a filler is moved if it can be.
	slowPaceLimit = 40
	slowPaceSpan  = time.Second
	// movedPause is how long a task isn't put back to where it was moved from.
	movedPause = 3 * time.Second
)

// share returns the part of the worker's processors that a size takes.
func (w *worker) share(size Size) float64 {
	return float64(size.MilliProcessors) / float64(max(w.registration.Capacity.MilliProcessors, 1))
}

// loads returns the present load of each filler image on the worker.
func (w *worker) loads() map[string]float64 {
	loads := map[string]float64{}
	for _, r := range w.runs {
		step := r.task.step.step
		if step.Filler {
			loads[step.Image] += w.share(step.Size) * float64(r.pace) / wholePace
		}
	}
	return loads
}

// neighbours returns the loads of the filler images on the worker by the
// processors that they were last reported to use.
func (w *worker) neighbours() []estimator.Influence {
	var neighbours []estimator.Influence
	for _, r := range w.sortedRuns() {
		step := r.task.step.step
		if !step.Filler || r.usage <= 0 {
			continue
		}
		load := w.share(Size{MilliProcessors: r.usage})
		i := slices.IndexFunc(neighbours, func(n estimator.Influence) bool { return n.Name == step.Image })
		if i >= 0 {
			neighbours[i].Load += load
		} else {
			neighbours = append(neighbours, estimator.Influence{Name: step.Image, Load: load})
		}
	}
	return neighbours
}

// learnTails learns from the tail latencies that a look at a worker reported.
func (c *Cell) learnTails(now time.Time, w *worker) {
	if w.servers == 0 {
		return
	}
	neighbours := w.neighbours()
	for _, r := range w.sortedRuns() {
		step := r.task.step.step
		if step.TailTarget == 0 || r.percent < wholePace || r.usage <= 0 {
			continue
		}
		c.headrooms.Observe(now, estimator.TailReport{
			Job: r.task.id.Job, Image: step.Image,
			Tail: time.Duration(r.usage) * time.Millisecond, Target: step.TailTarget, Neighbours: neighbours,
		})
		r.noteTail(now)
	}
}

func (r *run) noteTail(now time.Time) {
	switch {
	case time.Duration(r.usage)*time.Millisecond <= r.task.step.step.TailTarget:
		r.overSince = time.Time{}
	case r.overSince.IsZero():
		r.overSince = now
	}
}

// room returns how much of a lasting task's headroom may still be taken beside
// what loads a worker.
func (c *Cell) room(r *run, loads map[string]float64) float64 {
	left := c.headrooms.Own(r.task.id.Job) - 1 - headroomMargin
	for image, load := range loads {
		left -= load * c.headrooms.Effect(r.task.step.step.Image, image)
	}
	return left
}

// pressureLimit is the part of a lasting task's room that one filler may take; the
// room shrinks as the task's own load swings.
const pressureLimit = 0.7

// pressure returns the greatest part of the room of the worker's lasting tasks
// that a filler would take; it is infinite where that is too much.
func (c *Cell) pressure(w *worker, step *Step) float64 {
	if w.servers == 0 {
		return 0
	}
	loads := w.loads()
	greatest := 0.0
	for _, r := range w.runs {
		if r.task.step.step.TailTarget == 0 {
			continue
		}
		image := r.task.step.step.Image
		effect := w.share(step.Size) * (c.headrooms.Effect(image, step.Image) + c.headrooms.EffectBound(image, step.Image)) / 2
		room := c.room(r, loads)
		if effect > leastEffect && effect >= pressureLimit*room {
			return math.Inf(1)
		}
		if room > 0 {
			greatest = math.Max(greatest, effect/room)
		}
	}
	return greatest
}

// leastEffect is a part of the headroom that doesn't count.
const leastEffect = 0.05

// planPaces slows the fillers that press lasting tasks over their targets, and
// lets them go on as soon as there is room.
func (c *Cell) planPaces(now time.Time) []PaceOrder {
	var orders []PaceOrder
	for _, w := range c.workers {
		if w.fillers == 0 || now.Sub(w.pacedAt) < paceInterval {
			continue
		}
		w.pacedAt = now
		wanted := c.paces(now, w)
		for _, r := range w.sortedRuns() {
			pace, filler := wanted[r]
			if !filler || r.phase != phaseConfirmed {
				continue
			}
			if r.needsPace(pace) {
				r.setPace(now, pace)
				orders = append(orders, PaceOrder{
					Worker: w.registration, Task: r.task.id, Run: r.number, Percent: pace, Epoch: c.Epoch,
				})
			}
			c.moveSlow(now, r)
		}
	}
	return orders
}

// needsPace reports whether a pace is worth an order.
func (r *run) needsPace(pace int) bool {
	change := max(pace-r.pace, r.pace-pace)
	return !r.paceTaken || change >= leastPaceChange || change > 0 && (pace == 0 || pace == wholePace)
}

// Paced takes the answer to a pace; one that wasn't taken is sent again.
func (c *Cell) Paced(order PaceOrder, answer StartAnswer) {
	w, known := c.workers[order.Worker.ID]
	if !known {
		return
	}
	if r := w.runs[runKey{task: order.Task, run: order.Run}]; r != nil && r.pace == order.Percent {
		r.paceTaken = answer == AnswerTaken
	}
}

func (r *run) setPace(now time.Time, pace int) {
	r.paceTaken = true
	if pace < slowPaceLimit && r.pace >= slowPaceLimit {
		r.slowSince = now
	}
	r.pace = pace
}

// moveSlow stops a filler that has been slow for long, if another worker takes
// it and it loses little.
func (c *Cell) moveSlow(now time.Time, r *run) {
	if r.pace >= slowPaceLimit || now.Sub(r.slowSince) < slowPaceSpan || !r.task.step.step.Checkpoints {
		return
	}
	if w := c.choose(now, r.task); w != nil && w != r.worker {
		r.task.movedFrom, r.task.movedAt = r.worker.registration.ID, now
		c.stop(r)
	}
}

// paces returns the pace of each filler on a worker at which its lasting tasks
// are expected to keep their targets.
func (c *Cell) paces(now time.Time, w *worker) map[*run]int {
	wanted := map[*run]int{}
	loads := map[string]float64{}
	for _, r := range w.runs {
		if step := r.task.step.step; step.Filler {
			wanted[r] = wholePace
			loads[step.Image] += w.share(step.Size)
		}
	}
	for _, server := range w.sortedRuns() {
		if server.task.step.step.TailTarget == 0 || server.percent < wholePace {
			continue
		}
		if !server.overSince.IsZero() && now.Sub(server.overSince) > overLimit {
			for r := range wanted {
				wanted[r] = 0
			}
			return wanted
		}
		c.relieve(server, wanted, loads)
	}
	return wanted
}

// relieve lowers paces until a lasting task is expected to keep its target, those
// that press it hardest first.
func (c *Cell) relieve(server *run, wanted map[*run]int, loads map[string]float64) {
	excess := -c.room(server, loads)
	if excess <= 0 {
		return
	}
	image, w := server.task.step.step.Image, server.worker
	effect := func(r *run) float64 {
		step := r.task.step.step
		return w.share(step.Size) * c.headrooms.Effect(image, step.Image)
	}
	fillers := make([]*run, 0, len(wanted))
	for r := range wanted {
		fillers = append(fillers, r)
	}
	slices.SortFunc(fillers, func(a, b *run) int {
		if ea, eb := effect(a), effect(b); ea != eb {
			if ea > eb {
				return -1
			}
			return 1
		}
		return int(a.number - b.number)
	})
	for _, r := range fillers {
		full := effect(r)
		if excess <= 0 || full < leastEffect {
			return
		}
		present := full * float64(wanted[r]) / wholePace
		kept := math.Max(0, present-excess)
		pace := int(kept / full * wholePace)
		if pace < leastPace {
			pace = 0
		}
		step := r.task.step.step
		loads[step.Image] -= w.share(step.Size) * float64(wanted[r]-pace) / wholePace
		excess -= full * float64(wanted[r]-pace) / wholePace
		wanted[r] = pace
	}
}

// leastPace is the pace below which a filler is halted, in percent.
const leastPace = 10

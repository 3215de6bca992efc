package dispatcher

import "time"

// Room is what a cell has left for a step.
type Room struct {
	// Places is how many tasks of the step could start now, beside the tasks of
	// its kind that have just got ready. Those that have waited for longer found no
	// place here.
	Places int
	// Load is the part of the cell's processors that running and waiting tasks
	// take.
	Load float64
}

// Room returns what the cell has left for a step of a service.
func (c *Cell) Room(now time.Time, service string, step *Step) Room {
	var room Room
	var capacity, taken int64
	for _, w := range c.workers {
		if !w.listed || w.registration.Service != service || w.registration.Phase != PhaseReady {
			continue
		}
		capacity += w.registration.Capacity.MilliProcessors
		taken += w.registration.Capacity.MilliProcessors - w.idle()
		if c.sound(now, w) && w.has(step.Label) {
			room.Places += c.places(w, step)
		}
	}
	for _, t := range c.ready {
		if len(t.runs) > 0 {
			continue
		}
		taken += t.step.step.Size.MilliProcessors
		if t.step.step.kind() == step.kind() && now.Sub(t.readyAt) < tickInterval {
			room.Places--
		}
	}
	room.Places = max(0, room.Places)
	room.Load = float64(taken) / float64(max(capacity, 1))
	return room
}

// kind is what steps compete for.
type kind string

const (
	kindLasting kind = "lasting"
	kindFiller  kind = "filler"
	kindQuick   kind = "quick"
)

func (s *Step) kind() kind {
	switch {
	case s.Lasting:
		return kindLasting
	case s.Filler:
		return kindFiller
	}
	return kindQuick
}

// maxPlaces bounds the places that are counted on a worker.
const maxPlaces = 100

// places returns how many tasks of a step fit on a worker.
func (c *Cell) places(w *worker, step *Step) int {
	limit := maxPlaces
	if step.WorkerLimit > 0 {
		limit = min(limit, step.WorkerLimit)
	}
	if w.reserved != nil && !step.Lasting {
		return 0
	}
	left, need := w.free(), step.Size
	if step.Filler {
		left.MilliProcessors = w.idle()
		need.MilliProcessors = int64(idleShare * float64(need.MilliProcessors))
		if pressure := c.pressure(w, step); pressure > 0 {
			limit = min(limit, int(1/pressure))
		}
	}
	count := 0
	for count < limit && left.Holds(need) {
		left = left.Minus(step.Size)
		count++
	}
	return count
}

package dispatcher

import "time"

const (
	// lastingSlots is the number of slots into which holdBackLimit is divided, and lastingSlotTime
	// the length of one. Lasting room is recognized after holdBackLimit, or up to a slot later.
	lastingSlots    = 10
	lastingSlotTime = holdBackLimit / lastingSlots
)

// lastingRoom is the capacity of a worker that has been free for at least holdBackLimit. The zero
// value has none. It is immutable.
type lastingRoom struct {
	// least are the smallest free capacities in the last slots, the newest first. The newest slot
	// began at begun.
	least [lastingSlots + 1]Size
	begun time.Time
}

// With returns the lasting room after the worker had a free capacity at a time.
func (l lastingRoom) With(now time.Time, free Size) lastingRoom {
	if l.begun.IsZero() {
		l.least[0], l.begun = free, now
		return l
	}
	l.least[0] = l.least[0].lesser(free)
	if now.Sub(l.begun) >= lastingSlotTime {
		copy(l.least[1:], l.least[:lastingSlots])
		l.least[0], l.begun = free, now
	}
	return l
}

// Within returns how much of a free capacity is lasting room.
func (l lastingRoom) Within(free Size) Size {
	for _, least := range l.least {
		free = free.lesser(least)
	}
	return free
}

// lesser returns the smaller amount of each resource.
func (s Size) lesser(other Size) Size {
	return Size{
		MilliProcessors: min(s.MilliProcessors, other.MilliProcessors),
		Megabytes:       min(s.Megabytes, other.Megabytes),
		Accelerators:    min(s.Accelerators, other.Accelerators),
	}
}

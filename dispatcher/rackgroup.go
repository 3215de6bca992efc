package dispatcher

import (
	"cmp"
	"slices"
	"time"
)

// addGroup adds the runs of a gang that is faster in one rack: in such a rack if one has places for all
// members, else anywhere, unless the gang waits for a rack.
func (c *Cell) addGroup(now time.Time, t *task, members []*task) []*run {
	step := t.step.step
	if added := c.addWithinRacks(now, t, members, c.groupRacks(step)); added != nil {
		return added
	}
	added := c.addRunsAnywhere(now, members)
	if added == nil {
		return nil
	}
	line := c.newGroupLine(now, t)
	c.pass.racks.setLine(t.step, line)
	if line.groupWaits {
		c.withdrawAll(added)
		return nil
	}
	if step.RackLocal && step.DataRack != "" {
		c.withdrawAll(added)
		if within := c.addWithinRacks(now, t, members, c.pass.racks.names(c)); within != nil {
			return within
		}
		added = c.addRunsAnywhere(now, members)
	}
	return added
}

// groupRacks returns the racks in which a gang is as fast as it can be.
func (c *Cell) groupRacks(step *Step) []string {
	if step.DataRack != "" {
		return []string{step.DataRack}
	}
	return c.pass.racks.names(c)
}

// addWithinRacks adds the runs of a gang in one of some racks, or none. Of the racks with places for all
// members it prefers the one with the fewest places, so that the others stay free for larger gangs.
func (c *Cell) addWithinRacks(now time.Time, t *task, members []*task, racks []string) []*run {
	type candidate struct {
		rack   string
		places int
	}
	var candidates []candidate
	for _, rack := range racks {
		places := 0
		for _, w := range c.pass.racks.healthy(c, rack) {
			places += c.places(w, t.id.stepID(), t.step.step)
		}
		if places >= len(members) {
			candidates = append(candidates, candidate{rack: rack, places: places})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.places, b.places) })
	for _, chosen := range candidates {
		if added := c.addWithinRack(now, members, chosen.rack); added != nil {
			t.step.groupRack = chosen.rack
			return added
		}
	}
	return nil
}

// addWithinRack adds a run of each task on a worker of a rack, or none.
func (c *Cell) addWithinRack(now time.Time, members []*task, rack string) []*run {
	healthy := c.pass.healthy
	defer func() { c.pass.healthy = healthy }()
	c.pass.healthy = c.pass.racks.healthy(c, rack)
	return c.addRunsAnywhere(now, members)
}

// newGroupLine returns the line of a gang for the rack that is expected to be the first with places for
// all members, and decides whether the gang waits for them.
func (c *Cell) newGroupLine(now time.Time, t *task) *rackLine {
	count := len(t.step.tasks)
	var best *rackLine
	var bestIn time.Duration
	for _, rack := range c.groupRacks(t.step.step) {
		line := c.newRackLine(now, t, rack)
		in, expected := line.places.NextGroup(count)
		if best == nil || expected && (in < bestIn || !best.expected) {
			best, bestIn = line, in
			best.expected = expected
		}
	}
	if best == nil {
		return &rackLine{}
	}
	if c.awaitsRack(now, t, best, bestIn, best.expected) {
		best.groupWaits = true
		best.places.TakeGroup(count)
	}
	return best
}

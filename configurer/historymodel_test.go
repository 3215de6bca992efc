package configurer_test

import (
	"cmp"
	"slices"

	"github.com/anishathalye/porcupine"
)

// step is one operation on the register of an organisation.
type step struct {
	kind         stepKind
	organisation string
	base         int
	value        int
}

type stepKind string

const (
	// stepCommit is a change from base to value that is durable.
	stepCommit stepKind = "commit"
	// stepUnclear is a change from base to value that may be durable.
	stepUnclear stepKind = "unclear"
	// stepConflict is a change that was rejected because base is not the newest value.
	stepConflict stepKind = "conflict"
	// stepAccept is an answer to an operator that value is accepted.
	stepAccept stepKind = "accept"
	// stepRead is a read of value in force in a process that is ready.
	stepRead stepKind = "read"
)

// register holds the committed values and the index of the oldest value that may be in
// force.
type register struct {
	values []int
	floor  int
}

// registerModel models a register for each organisation: a commit needs the newest value
// as its base, and after the acceptance of a value no process reads an older one.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, o := range history {
			organisation := o.Input.(step).organisation
			parts[organisation] = append(parts[organisation], o)
		}
		var partition [][]porcupine.Operation
		for _, part := range parts {
			partition = append(partition, part)
		}
		return partition
	},
	Init: func() any { return register{values: []int{1}} },
	Step: func(state, input, _ any) (bool, any) { return state.(register).after(input.(step)) },
	Equal: func(a, b any) bool {
		return a.(register).floor == b.(register).floor && slices.Equal(a.(register).values, b.(register).values)
	},
}

func (r register) after(s step) (bool, register) {
	newest := r.values[len(r.values)-1]
	position := slices.Index(r.values, s.value)
	switch s.kind {
	case stepCommit:
		if newest != s.base {
			return false, r
		}
		return true, register{values: append(slices.Clone(r.values), s.value), floor: r.floor}
	case stepUnclear:
		if newest != s.base {
			return true, r
		}
		return true, register{values: append(slices.Clone(r.values), s.value), floor: r.floor}
	case stepConflict:
		return newest != s.base, r
	case stepAccept:
		return position >= 0, register{values: r.values, floor: max(r.floor, position)}
	}
	return position >= r.floor, r
}

// staleRead returns a read that is older than a value accepted before it began. For such
// a history the linearizability checker may take very long; this search is fast.
func staleRead(steps []porcupine.Operation) (porcupine.Operation, bool) {
	positions := committedPositions(steps)
	steps = slices.Clone(steps)
	slices.SortFunc(steps, func(a, b porcupine.Operation) int { return cmp.Compare(effectiveTime(a), effectiveTime(b)) })
	floor := map[string]int{}
	for _, o := range steps {
		s := o.Input.(step)
		position, known := positions[s.organisation][s.value]
		switch {
		case s.kind == stepAccept:
			floor[s.organisation] = max(floor[s.organisation], position)
		case s.kind == stepRead && known && position < floor[s.organisation]:
			return o, true
		}
	}
	return porcupine.Operation{}, false
}

// effectiveTime returns when an acceptance is known or when a read begins.
func effectiveTime(o porcupine.Operation) int64 {
	if o.Input.(step).kind == stepAccept {
		return o.Return
	}
	return o.Call
}

// committedPositions returns the index of each value in the sequence of commits of its
// organisation.
func committedPositions(steps []porcupine.Operation) map[string]map[int]int {
	next := map[step]int{}
	for _, o := range steps {
		if s := o.Input.(step); s.kind == stepCommit {
			next[step{organisation: s.organisation, base: s.base}] = s.value
		}
	}
	positions := map[string]map[int]int{}
	for _, organisation := range historyOrganisations {
		positions[organisation] = map[int]int{}
		for value := 1; value != 0; value = next[step{organisation: organisation, base: value}] {
			positions[organisation][value] = len(positions[organisation])
		}
	}
	return positions
}

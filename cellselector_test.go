package zinniashore

import (
	"testing"

	"zinniashore.example/dispatcher"
)

func TestBetterFit(t *testing.T) {
	tests := map[string]struct {
		candidate, current dispatcher.FreeCapacity
		want               bool
	}{
		"more of the tasks fit":                  {candidate: dispatcher.FreeCapacity{Places: 5}, current: dispatcher.FreeCapacity{Places: 2}, want: true},
		"more places than tasks do not matter":   {candidate: dispatcher.FreeCapacity{Places: 90}, current: dispatcher.FreeCapacity{Places: 6}},
		"as many fit at a much lower load":       {candidate: dispatcher.FreeCapacity{Load: 0.5}, current: dispatcher.FreeCapacity{Load: 0.9}, want: true},
		"as many fit at a slightly lower load":   {candidate: dispatcher.FreeCapacity{Load: 0.8}, current: dispatcher.FreeCapacity{Load: 0.9}},
		"fewer of the tasks fit at a lower load": {candidate: dispatcher.FreeCapacity{Places: 1}, current: dispatcher.FreeCapacity{Places: 2, Load: 0.9}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := betterFit(test.candidate, test.current, 6); got != test.want {
				t.Errorf("betterFit = %v, want %v", got, test.want)
			}
		})
	}
}

func TestFirstStep(t *testing.T) {
	job := dispatcher.Job{Steps: []dispatcher.Step{{Count: 2}, {Count: 9, After: []int{0}}, {Count: 5}}}
	if got := firstStep(&job); got.Count != 5 {
		t.Errorf("the first step has %d tasks, want the largest one that depends on no other step", got.Count)
	}
}

package zinniashore

import (
	"testing"

	"zinniashore.example/dispatcher"
)

func TestBetterRoom(t *testing.T) {
	tests := map[string]struct {
		room, than dispatcher.FreeCapacity
		want       bool
	}{
		"more of the tasks fit":                   {room: dispatcher.FreeCapacity{Places: 5}, than: dispatcher.FreeCapacity{Places: 2}, want: true},
		"more places than tasks count no more":    {room: dispatcher.FreeCapacity{Places: 90}, than: dispatcher.FreeCapacity{Places: 6}},
		"as many fit beside much less load":       {room: dispatcher.FreeCapacity{Load: 0.5}, than: dispatcher.FreeCapacity{Load: 0.9}, want: true},
		"as many fit beside somewhat less load":   {room: dispatcher.FreeCapacity{Load: 0.8}, than: dispatcher.FreeCapacity{Load: 0.9}},
		"fewer of the tasks fit beside less load": {room: dispatcher.FreeCapacity{Places: 1}, than: dispatcher.FreeCapacity{Places: 2, Load: 0.9}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := betterRoom(test.room, test.than, 6); got != test.want {
				t.Errorf("betterRoom = %v, want %v", got, test.want)
			}
		})
	}
}

func TestFirstStep(t *testing.T) {
	job := dispatcher.Job{Steps: []dispatcher.Step{{Count: 2}, {Count: 9, After: []int{0}}, {Count: 5}}}
	if got := firstStep(&job); got.Count != 5 {
		t.Errorf("the first step has %d tasks, want the largest one that waits for no other", got.Count)
	}
}

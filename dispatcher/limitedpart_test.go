package dispatcher_test

import (
	"testing"
	"testing/synctest"
	"time"

	"zinniashore.example/dispatcher"
)

// TestOnePlaceForTwoCells guards against a task that waits without end in a cell in which another one took
// the place, while its own cell has room again.
func TestOnePlaceForTwoCells(t *testing.T) {
	const first, second, third = "graz-a", "graz-b", "graz-c"
	synctest.Test(t, func(t *testing.T) {
		c := newConnectedCells(t, first, second, third)
		c.add(first, longRunningJob("00000000000000f0", 2, 1900))
		c.add(second, longRunningJob("00000000000000f1", 2, 1900))
		c.add(third, longRunningJob("00000000000000f2", 1, 1900))
		c.addShort(third)
		time.Sleep(2 * time.Second)
		c.add(first, longRunningJob(jobID, 1, 1900))
		c.add(second, longRunningJob(otherID, 1, 1900))
		time.Sleep(6 * time.Second)
		t.Logf("before: %d %d %d", c.workers[first].countRuns(), c.workers[second].countRuns(), c.workers[third].countRuns())
		for cell, id := range map[string]string{first: "00000000000000f0", second: "00000000000000f1"} {
			if known, err := c.runners[cell].Cancel(t.Context(), id); !known || err != nil {
				t.Fatal(known, err)
			}
		}
		time.Sleep(10 * time.Second)
		if got := c.workers[first].countRuns() + c.workers[second].countRuns() + c.workers[third].countRuns(); got != 3 {
			t.Errorf("%d long-running tasks run, want 3", got)
		}
	})
}

// TestLimitedTasksInCellOfPart guards against a task that waits without end since the only cell that will
// make room runs a part of its job, on a worker that may run one more.
func TestLimitedTasksInCellOfPart(t *testing.T) {
	const home, other = "graz-a", "graz-b"
	fills := map[string]func(c *connectedCells){
		"home is full": func(c *connectedCells) { c.add(home, longRunningJob("00000000000000f0", 2, 1900)) },
		"no worker of home can run it": func(c *connectedCells) {
			c.runners[home].SetWorkers([]dispatcher.Registration{{
				ID: "w" + home, Address: "127.0.0.1:7000", Service: testService, Phase: dispatcher.PhaseReady, Boot: 1,
				Capacity: dispatcher.Size{MilliProcessors: 500, Megabytes: 500},
			}})
		},
	}
	for name, fill := range fills {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newConnectedCells(t, home, other)
				fill(c)
				c.addShort(other)
				time.Sleep(2 * time.Second)
				limited := longRunningJob(jobID, 2, 1000)
				limited.Steps[0].WorkerLimit = 2
				c.add(home, limited)
				time.Sleep(20 * time.Second)
				if got := c.workers[other].countRuns(); got != 2 {
					t.Errorf("%d tasks run in the other cell, want 2", got)
				}
			})
		})
	}
}

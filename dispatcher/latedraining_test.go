package dispatcher_test

import (
	"testing"
	"time"

	"zinniashore.example/dispatcher"
)

// TestLateDrainingRegistration guards against a planned exit that counts as a crash, as the registry was behind: the
// worker's next process had answered before its draining registration was read.
func TestLateDrainingRegistration(t *testing.T) {
	tests := map[string]struct{ drained, newBootFirst bool }{
		"draining, then the new process answers": {drained: true},
		"the new process answers, then draining": {drained: true, newBootFirst: true},
		"never draining":                         {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newActiveSimulation(9)
			s.submit(longRunningJob(jobID, 1, 1000))
			id := dispatcher.TaskID{Job: jobID}
			f := s.awaitRun(t, id)
			leaving := f.registration
			if test.drained {
				leaving.Phase = dispatcher.PhaseDraining
			}
			s.unregister(f)
			if !test.newBootFirst {
				s.cell.SetWorker(s.now, leaving)
			}
			f.reboot()
			s.advance(200 * time.Millisecond)
			if test.newBootFirst {
				s.cell.SetWorker(s.now, leaving)
			}
			s.register(f)
			s.advance(100 * time.Millisecond)
			confirmed, withdrawn := len(s.events.of("task_crash_confirmed")), len(s.events.of("task_crash_withdrawn"))
			if counts := confirmed > withdrawn; counts != !test.drained {
				t.Errorf("the crash counts: %t, want %t", counts, !test.drained)
			}
		})
	}
}

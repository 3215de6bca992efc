package dispatcher

import "zinniashore.example/recorder"

// Kinds of events of the time line.
const (
	KindJobAdded     recorder.Kind = "job_added"
	KindJobFinal     recorder.Kind = "job_final"
	KindJobCancelled recorder.Kind = "job_cancelled"
	KindStart        recorder.Kind = "task_start"
	// KindLateStart reports a long-running task that has waited long.
	KindLateStart      recorder.Kind = "task_start_late"
	KindStartFailed    recorder.Kind = "task_start_failed"
	KindEnd            recorder.Kind = "task_end"
	KindStop           recorder.Kind = "task_stop"
	KindAdopted        recorder.Kind = "task_adopted"
	KindLost           recorder.Kind = "task_lost"
	KindCrash          recorder.Kind = "task_crash"
	KindCrashConfirmed recorder.Kind = "task_crash_confirmed"
	KindCrashWithdrawn recorder.Kind = "task_crash_withdrawn"
	KindGivenUp        recorder.Kind = "task_given_up"
	KindAttemptsSpent  recorder.Kind = "task_attempts_spent"
	KindEndAwaited     recorder.Kind = "task_end_awaited"
	KindDelegated      recorder.Kind = "task_hand_over"
	KindPartFailed     recorder.Kind = "part_given_up"
	KindRelocated      recorder.Kind = "job_relocated"
	KindOrphaned       recorder.Kind = "task_stray"
	KindEvacuation     recorder.Kind = "evacuation"
	// KindPartExtended reports more tasks of a job of which the cell runs a part.
	KindPartExtended recorder.Kind = "part_extended"
	// KindNotAdded reports a job that was delivered to a holder which had ended.
	KindNotAdded recorder.Kind = "job_not_added"
	// KindLoaded reports what a holder has loaded, KindLeft what it leaves to the next one.
	KindLoaded     recorder.Kind = "cell_loaded"
	KindLeft       recorder.Kind = "cell_left"
	KindRackWait   recorder.Kind = "task_rack_wait"
	KindRackLocal  recorder.Kind = "task_rack_wait_local"
	KindRackRemote recorder.Kind = "task_rack_wait_remote"
	KindWorker     recorder.Kind = "worker"
	// KindEndsForgotten reports a worker that has forgotten ends which this holder hasn't acknowledged.
	KindEndsForgotten recorder.Kind = "worker_ends_forgotten"
	KindWorkerSlow    recorder.Kind = "worker_slow"
	KindWorkerProbed  recorder.Kind = "worker_probed"
	KindWorkerNormal  recorder.Kind = "worker_normal"
	KindSlowMove      recorder.Kind = "task_slow_move"
	KindCell          recorder.Kind = "cell"
	// KindTasksWait begins the kinds of waits, one for each WaitCause.
	KindTasksWait     recorder.Kind = "tasks_wait"
	KindTasksWaitOver recorder.Kind = "tasks_wait_over"
)

// Recorder records the events of a cell's decisions.
type Recorder interface {
	Record(event recorder.Event) recorder.Timestamp
}

// record adds an event to the time line.
func (c *Cell) record(event recorder.Event) {
	event.Cell = c.Name
	event.Epoch = c.Epoch
	c.Recorder.Record(event)
}

// recordRun adds an event about a run to the time line.
func (c *Cell) recordRun(kind recorder.Kind, r *run, detail string) {
	c.record(recorder.Event{
		Kind: kind, VM: r.worker.registration.ID, Task: r.task.id.String(), Attempt: int(r.number), Key: r.task.id.Job, Detail: detail,
	})
}

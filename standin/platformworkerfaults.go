package standin

import "time"

// PlatformWorkerFaults are the faults that a PlatformWorker injects.
type PlatformWorkerFaults struct {
	// DropEvery loses the answer of every DropEvery-th call after the call was carried
	// out, if above 0.
	DropEvery int
	// DelayEvery delays the answer of every DelayEvery-th call by Delay after the call was
	// carried out, if above 0.
	DelayEvery int
	// Delay is the delay of these answers.
	Delay time.Duration
	// LateEvery carries out every LateEvery-th call Late after its arrival and loses its
	// answer, if above 0.
	LateEvery int
	// Late is how long these calls are held back.
	Late time.Duration
	// RefuseEvery refuses every RefuseEvery-th call with status 503, if above 0; nothing of
	// it is carried out.
	RefuseEvery int
}

// platformCallFaults are the faults that apply to a call.
type platformCallFaults struct {
	refused, drop bool
	late, delay   time.Duration
}

// SetFaults replaces the faults.
func (w *PlatformWorker) SetFaults(faults PlatformWorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults
}

// Freeze stops the worker for a time: calls are carried out once it has passed, while the
// clock and what runs go on.
func (w *PlatformWorker) Freeze(length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until := time.Now().Add(length); until.After(w.frozenUntil) {
		w.frozenUntil = until
	}
}

// awaitThaw waits until the worker isn't frozen.
func (w *PlatformWorker) awaitThaw() {
	for {
		w.mu.Lock()
		remaining := time.Until(w.frozenUntil)
		w.mu.Unlock()
		if remaining <= 0 {
			return
		}
		time.Sleep(remaining)
	}
}

// admit returns the life of the worker that a call from a remote address belongs to, and
// the faults that apply to the call.
func (w *PlatformWorker) admit(remote string) (int, platformCallFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	hits := func(every int) bool { return every > 0 && w.calls%every == 0 }
	faults := platformCallFaults{refused: hits(w.faults.RefuseEvery), drop: hits(w.faults.DropEvery)}
	if hits(w.faults.DelayEvery) {
		faults.delay = w.faults.Delay
	}
	if hits(w.faults.LateEvery) {
		faults.late, faults.drop = w.faults.Late, true
	}
	if c, tracked := w.connections[remote]; tracked {
		return c.life, faults
	}
	return w.life, faults
}

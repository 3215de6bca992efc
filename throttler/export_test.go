package throttler

// Draining reports whether Drain was called.
func (t *Throttler) Draining() bool { return t.draining.Load() }

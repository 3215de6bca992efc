package dispatcher

import "time"

// registrationGrace is how long a worker may be missing from the registry before it
// counts as exited. Workers whose registrations expired while the store was unavailable
// register again within two seconds; the watch of the registry lags behind.
const registrationGrace = 3 * time.Second

// exited reports whether a worker no longer exists according to the registry. What the
// registry has said since the holder last read it isn't known, so that a pause of either
// doesn't count as absence of the worker. After one the worker has as long again to register.
func (c *Cell) exited(w *worker) bool {
	return !w.registered && c.registryReadFor(w.absentSince) >= registrationGrace
}

// registryReadFor returns for how long since a time the registry has been read without a long gap.
func (c *Cell) registryReadFor(since time.Time) time.Duration {
	if c.registrySteadySince.After(since) {
		since = c.registrySteadySince
	}
	return c.registryReadAt.Sub(since)
}

// crashed reports whether a worker has exited according to the registry and nothing
// listens at its address. A worker that is only cut off doesn't refuse connections.
func (c *Cell) crashed(w *worker) bool { return w.connectionRefused && c.exited(w) }

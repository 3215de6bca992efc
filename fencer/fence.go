// Package fencer chooses the fencing tokens of one holder's calls to one worker, so that a call that was sent before a certain
// moment can't be executed after it, whichever life of the worker gets it.
//
// A worker does nothing for a call with a lower token than the highest that it has seen, and a restarted one has seen none. So
// an answer to a call that changes nothing and carries a token above those of all earlier calls shows that the life which
// answered won't execute any of them.
package fencer

// Fence is the state of the fencing tokens of a worker. A later holder's tokens have to be above those of an earlier one.
type Fence struct {
	// token is that of the newest calls, granting the highest of a call that another life must not execute.
	token, granting int64
	// life is the life of the worker that may get granting calls, 0 if its boot is unknown; established is false before there
	// is one.
	life        int64
	established bool
}

// New returns a Fence that begins with a token, which must be above those of all earlier holders.
func New(token int64) Fence { return Fence{token: token} }

// After returns a Fence for a worker whose earlier Fence isn't known any more. No token of that one was above the given one.
func After(token int64) Fence { return Fence{token: token, granting: token} }

// Token returns the token for a call that may reach any life of the worker, as it changes nothing that matters to another one.
func (f *Fence) Token() int64 { return f.token }

// Grant returns the token for a call that only the established life may execute.
func (f *Fence) Grant() int64 {
	f.granting = f.token
	return f.token
}

// Raise makes the token higher than those of all granting calls, up to a limit. It reports false if the limit doesn't allow it.
func (f *Fence) Raise(limit int64) bool {
	if f.token > f.granting {
		return true
	}
	if f.granting >= limit {
		return false
	}
	f.token = f.granting + 1
	return true
}

// Answered records that a life of the worker has executed a call with a token that changes nothing. The life is established if
// that excludes all granting calls so far.
func (f *Fence) Answered(token, life int64) {
	if token > f.granting {
		f.life, f.established = life, true
	}
}

// Established reports whether a life of the worker is known to execute no granting call that was sent to an earlier one.
func (f *Fence) Established(life int64) bool { return f.established && f.life == life }

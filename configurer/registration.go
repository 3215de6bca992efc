package configurer

import (
	"context"
	"errors"

	"zinniashore.example/keeper"
)

// register stores a member record for this process and only then reads the
// configuration. An acceptance after the write finds the record, and the document that
// is read contains every revision accepted before.
func (c *Configurer) register(ctx context.Context) error {
	written, err := c.Keeper.Update(ctx, memberKey(c.FailureDomain, c.VM), func(d keeper.Document) ([]byte, error) {
		previous, found, err := decodeMember(d)
		if err != nil {
			return nil, err
		}
		if c.isStopped() {
			return nil, errStopped
		}
		c.hasPredecessor = c.hasPredecessor || found && previous.Process != c.Process
		own := Member{VM: c.VM, FailureDomain: c.FailureDomain, Process: c.Process, Revision: previous.Revision}
		return own.encode()
	})
	if err != nil {
		return err
	}
	c.ownRecord = written
	if err := c.refresh(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	c.synced = true
	c.registered = true
	c.confirmed = 0
	if c.hasPredecessor {
		c.confirmAfter = c.Clock.Now().Add(grantedPermitTTL)
	}
	c.mu.Unlock()
	c.record(EventRegistered, "", c.Current().Revision)
	return nil
}

// confirm stores the revision in force in the member record, once no process with a
// permit from this one runs an older revision.
func (c *Configurer) confirm(ctx context.Context) error {
	revision, due := c.confirmable()
	if !due {
		return nil
	}
	written, err := c.Keeper.UpdateFrom(ctx, c.ownRecord, func(d keeper.Document) ([]byte, error) {
		member, found, err := decodeMember(d)
		switch {
		case err != nil:
			return nil, err
		case !found:
			return nil, errReleased
		case member.Process != c.Process:
			return nil, &ReplacedError{VM: c.VM, Successor: member.Process}
		}
		member.Revision = max(member.Revision, revision)
		return member.encode()
	})
	if errors.Is(err, errReleased) {
		c.resetRegistration()
		return err
	}
	if err != nil {
		return err
	}
	c.ownRecord = written
	c.mu.Lock()
	c.confirmed = revision
	c.mu.Unlock()
	c.record(EventConfirmed, "", revision)
	return nil
}

// confirmable returns the revision in force and whether it has to be and can be
// confirmed now.
func (c *Configurer) confirmable() (revision int64, due bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	revision = c.current.Revision
	if revision <= c.confirmed || now.Before(c.confirmAfter) {
		return revision, false
	}
	return revision, c.permitHoldersReached(revision, now)
}

// resetRegistration makes the process not ready until it has registered again or has got
// a permit.
func (c *Configurer) resetRegistration() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registered = false
	c.synced = false
}

// Leave removes the record of the process, so that no acceptance waits for it. It is
// called after the process has served its last request, and first waits until the
// permits that the process granted have expired.
func (c *Configurer) Leave(ctx context.Context) error {
	c.stop()
	if err := c.awaitPermitExpiry(ctx); err != nil {
		return err
	}
	_, err := c.Keeper.Update(ctx, memberKey(c.FailureDomain, c.VM), func(d keeper.Document) ([]byte, error) {
		member, found, err := decodeMember(d)
		if err != nil {
			return nil, err
		}
		if !found || member.Process != c.Process {
			return nil, errReleased
		}
		return nil, nil
	})
	if errors.Is(err, errReleased) {
		return nil
	}
	return err
}

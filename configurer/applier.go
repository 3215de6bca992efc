package configurer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"zinniashore.example/keeper"
	"zinniashore.example/recorder"
)

// Apply commits a change and waits up to ConfirmWait for every failure domain to
// confirm it. If the change is repeated with the same id, the result is that of the
// same revision. The error is a *keeper.UnavailableError if the change was certainly
// not committed, and a *keeper.UnclearError if it may have been committed; the caller
// should then repeat the change with the same id.
func (c *Configurer) Apply(ctx context.Context, change Change) (Result, error) {
	revision, err := c.commit(ctx, change)
	var rejected *rejectedError
	var conflict *conflictError
	switch {
	case errors.As(err, &rejected):
		return c.countResult(Result{State: StateRejected, Revision: revision, Faults: rejected.faults}), nil
	case errors.As(err, &conflict):
		return c.countResult(Result{State: StateConflict, Revision: conflict.revision}), nil
	case err != nil:
		return Result{}, err
	}
	return c.countResult(c.awaitAcceptance(ctx, revision)), nil
}

// Outcome returns the result of the change with the given id, without waiting for
// confirmations. It returns false if the stored document does not contain the id.
func (c *Configurer) Outcome(ctx context.Context, id string) (Result, bool, error) {
	stored, err := c.Keeper.Read(ctx, documentKey)
	if err != nil {
		return Result{}, false, err
	}
	document, err := decodeDocument(stored.Body)
	if err != nil {
		return Result{}, false, err
	}
	applied, found := document.findChange(id)
	if !found {
		return Result{}, false, nil
	}
	result, err := c.checkAcceptance(ctx, applied.revision)
	return result, true, err
}

// Members returns the member records of all entry VMs that may run a configuration.
func (c *Configurer) Members(ctx context.Context) ([]Member, error) {
	view, err := c.readMembership(ctx)
	return view.members, err
}

// Release removes the record of an entry VM that the operator knows to be gone, so that
// no acceptance waits for it. It returns an *AliveError if the process still renews its
// lease, and an *UnknownVMError if the VM has no record.
func (c *Configurer) Release(ctx context.Context, vm, operator string) error {
	members, err := c.Members(ctx)
	if err != nil {
		return err
	}
	for _, member := range members {
		if member.VM == vm {
			return c.release(ctx, member, operator)
		}
	}
	return &UnknownVMError{VM: vm}
}

func (c *Configurer) release(ctx context.Context, member Member, operator string) error {
	alive, err := c.Keeper.Store.Get(ctx, keeper.AlivePrefix+member.Process)
	if err != nil {
		return err
	}
	if alive.Version != 0 {
		return &AliveError{VM: member.VM, Process: member.Process}
	}
	// Permits that the VM granted expire during the wait, and the processes that hold
	// them stop serving.
	if err := c.sleep(ctx, grantedPermitTTL); err != nil {
		return err
	}
	_, err = c.Keeper.Update(ctx, member.key(), func(d keeper.Document) ([]byte, error) {
		stored, found, err := decodeMember(d)
		if err != nil {
			return nil, err
		}
		if !found || stored.Process != member.Process {
			return nil, &UnknownVMError{VM: member.VM}
		}
		return nil, nil
	})
	if err != nil {
		return err
	}
	c.Recorder.Record(recorder.Event{Kind: EventReleased, VM: member.VM, Detail: "by " + operator})
	return nil
}

// commit writes the change to the store and returns its revision.
func (c *Configurer) commit(ctx context.Context, change Change) (int64, error) {
	var revision int64
	_, err := c.Keeper.Update(ctx, documentKey, func(d keeper.Document) ([]byte, error) {
		document, err := decodeDocument(d.Body)
		if err != nil {
			return nil, err
		}
		revision = document.Revision
		next, err := change.apply(document, c.FailureDomains)
		if err != nil {
			return nil, err
		}
		revision = next.Revision
		return encodeBounded(next, change)
	})
	var repeated *repeatedError
	if errors.As(err, &repeated) {
		return repeated.revision, nil
	}
	if err == nil {
		c.record(EventCommitted, change.Organisation, revision)
	}
	return revision, err
}

func encodeBounded(d Document, change Change) ([]byte, error) {
	body, err := d.encode()
	if err != nil {
		return nil, err
	}
	if len(body) > maxDocumentBytes {
		return nil, change.reject("files", "", fmt.Sprintf("make the configuration %d bytes long", len(body)), fmt.Sprintf("at most %d bytes", maxDocumentBytes))
	}
	return body, nil
}

// awaitAcceptance polls the confirmations until the revision is accepted or the wait
// ends.
func (c *Configurer) awaitAcceptance(ctx context.Context, revision int64) Result {
	wait := c.ConfirmWait
	if wait == 0 {
		wait = DefaultConfirmWait
	}
	deadline := c.Clock.Now().Add(wait)
	result := Result{State: StatePending, Revision: revision, Pending: c.FailureDomains}
	for pause := minAcceptancePoll; ; pause = min(2*pause, maxAcceptancePoll) {
		if err := c.sleep(ctx, pause); err != nil {
			return result
		}
		if latest, err := c.checkAcceptance(ctx, revision); err == nil {
			result = latest
		}
		if result.State == StateAccepted || !c.Clock.Now().Before(deadline) {
			return result
		}
	}
}

// checkAcceptance returns whether a durable revision is accepted or pending. An
// accepted revision is recorded in the store and stays accepted.
func (c *Configurer) checkAcceptance(ctx context.Context, revision int64) (Result, error) {
	pending := Result{State: StatePending, Revision: revision, Pending: c.FailureDomains}
	view, err := c.readMembership(ctx)
	if err != nil {
		return pending, err
	}
	pending.Pending = view.pending(revision, c.FailureDomains)
	if len(pending.Pending) > 0 {
		return pending, nil
	}
	if revision > view.accepted {
		if err := c.recordAcceptance(ctx, view.acceptance, revision); err != nil {
			return pending, err
		}
	}
	return Result{State: StateAccepted, Revision: revision}, nil
}

func (c *Configurer) recordAcceptance(ctx context.Context, known keeper.Document, revision int64) error {
	_, err := c.Keeper.UpdateFrom(ctx, known, func(d keeper.Document) ([]byte, error) {
		accepted, err := decodeAcceptance(d)
		if err != nil {
			return nil, err
		}
		return json.Marshal(acceptanceMessage{Format: memberFormat, Revision: max(accepted, revision)})
	})
	if err == nil {
		c.record(EventAccepted, "", revision)
	}
	return err
}

func (c *Configurer) readMembership(ctx context.Context) (membership, error) {
	listing, err := c.Keeper.Store.List(ctx, configPrefix)
	if err != nil {
		return membership{}, err
	}
	return decodeMembership(listing)
}

func (c *Configurer) sleep(ctx context.Context, pause time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.Clock.After(pause):
		return nil
	}
}

func (c *Configurer) countResult(result Result) Result {
	c.Metrics.Tagged(map[string]string{"state": string(result.State)}).Counter("configuration_changes").Inc(1)
	return result
}

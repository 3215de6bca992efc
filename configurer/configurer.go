package configurer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"zinniashore.example/keeper"
	"zinniashore.example/recorder"
)

// Kinds of events recorded by a Configurer.
const (
	// EventCommitted is recorded when a change is durable in the store.
	EventCommitted recorder.Kind = "configuration_committed"
	// EventInForce is recorded when a revision comes into force in this process.
	EventInForce recorder.Kind = "configuration_in_force"
	// EventConfirmed is recorded when this process confirms a revision.
	EventConfirmed recorder.Kind = "configuration_confirmed"
	// EventAccepted is recorded when this process finds a revision confirmed in every
	// failure domain.
	EventAccepted recorder.Kind = "configuration_accepted"
	// EventRegistered is recorded when this process has registered as a member, which
	// may run a configuration.
	EventRegistered recorder.Kind = "configuration_registered"
	// EventReleased is recorded when an operator has declared a VM gone.
	EventReleased recorder.Kind = "configuration_released"
)

// DefaultConfirmWait is how long Apply waits for confirmations if ConfirmWait is
// zero.
const DefaultConfirmWait = 8 * time.Second

const (
	stepPeriod   = 500 * time.Millisecond
	storeTimeout = 2 * time.Second

	// rereadPeriod is the interval of reads of the stored document. It limits how long
	// a change stays unknown that the watch skipped.
	rereadPeriod = 6 * time.Second

	minAcceptancePoll = 25 * time.Millisecond
	maxAcceptancePoll = 400 * time.Millisecond
)

// Recorder records events of the time line.
type Recorder interface {
	// Record adds a timestamp to an event and stores it.
	Record(event recorder.Event) recorder.Timestamp
}

// Configurer maintains the configuration in force in one process and commits changes
// for all processes. Its exported fields are set before Follow and Run are called. It
// is safe for concurrent use.
type Configurer struct {
	// Clock times retries, polls and permits.
	Clock clockwork.Clock
	// Keeper reads and updates documents in the store.
	Keeper *keeper.Keeper
	// Mirror is the store watch that all parts of the process share.
	Mirror *keeper.Mirror
	// Recorder records events.
	Recorder Recorder
	// Metrics receives the counter of changes by state.
	Metrics tally.Scope
	// Process identifies this incarnation of the process. An id is never reused.
	Process string
	// VM is the entry VM of the process. No two processes run on it at the same time.
	VM string
	// FailureDomain is the failure domain of the entry VM.
	FailureDomain string
	// FailureDomains are the names of all failure domains.
	FailureDomains []string
	// Peers lists the other entry VMs. It may be nil.
	Peers Peers
	// ConfirmWait is how long Apply waits for confirmations. Zero means
	// DefaultConfirmWait.
	ConfirmWait time.Duration

	once    sync.Once
	wake    chan struct{}
	adoptMu sync.Mutex

	mu           sync.Mutex
	subscribers  []func(Configuration)
	document     Document
	current      Configuration
	synced       bool
	registered   bool
	stopped      bool
	confirmed    int64
	confirmAfter time.Time
	permitExpiry time.Time
	permits      map[string]permit

	// ownRecord is the member record as this process last wrote it. hasPredecessor is set
	// if another process owned the record before. lastRead is the time of the last read
	// of the configuration. Only Run uses these fields.
	ownRecord      keeper.Document
	hasPredecessor bool
	lastRead       time.Time
}

// Subscribe registers notify to be called, one call at a time, with each newer
// configuration that comes into force. If there is a configuration already, Subscribe
// calls notify with it before it returns. A configuration is confirmed only after
// every subscriber has returned.
func (c *Configurer) Subscribe(notify func(Configuration)) {
	c.adoptMu.Lock()
	defer c.adoptMu.Unlock()
	c.mu.Lock()
	c.subscribers = append(c.subscribers, notify)
	current, synced := c.current, c.synced
	c.mu.Unlock()
	if synced {
		notify(current)
	}
}

// Current returns the configuration in force in this process. The result must be used
// only while Ready reports true.
func (c *Configurer) Current() Configuration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// Document returns the templates and parameter values in force in this process.
func (c *Configurer) Document() Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document
}

// Ready reports whether this process may serve: its revision is at least as new as any
// that its failure domain confirmed, and no newer one can be accepted before this
// process runs it.
func (c *Configurer) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.synced || c.stopped {
		return false
	}
	return c.registered || c.Clock.Now().Before(c.permitExpiry)
}

// Follow subscribes to changes of the configuration in the mirror. It is called once,
// before the mirror runs.
func (c *Configurer) Follow() {
	c.Mirror.Subscribe(documentKey, c.observe)
}

// Run registers the process, brings newer configurations into force and confirms
// them until ctx ends. It returns a *ReplacedError if another process has replaced
// this one on its VM.
func (c *Configurer) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var renewal sync.WaitGroup
	renewal.Go(func() { c.renewPermitUntilRegistered(ctx) })
	defer renewal.Wait()
	defer cancel()
	ticker := c.Clock.NewTicker(stepPeriod)
	defer ticker.Stop()
	for {
		err := c.step(ctx)
		var replaced *ReplacedError
		if errors.As(err, &replaced) {
			c.stop()
			return err
		}
		if err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("Failed to register or to confirm the configuration", "vm", c.VM, "err", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-c.wakeChannel():
		case <-ticker.Chan():
		}
	}
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

func (c *Configurer) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
}

func (c *Configurer) isStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped
}

func (c *Configurer) wakeChannel() chan struct{} {
	c.once.Do(func() { c.wake = make(chan struct{}, 1) })
	return c.wake
}

func (c *Configurer) wakeRun() {
	select {
	case c.wakeChannel() <- struct{}{}:
	default:
	}
}

func (c *Configurer) observe(entries []keeper.Entry) {
	for _, entry := range entries {
		if entry.Key != documentKey {
			continue
		}
		if err := c.adoptEntry(entry); err != nil {
			klog.ErrorS(err, "Failed to bring the watched configuration into force", "vm", c.VM)
		}
	}
}

func (c *Configurer) adoptEntry(entry keeper.Entry) error {
	stored, err := keeper.DecodeDocument(entry)
	if err != nil {
		return err
	}
	return c.adopt(stored.Body)
}

// adopt brings a document into force if it is newer than the current one. It returns
// an error if this process cannot read or expand the document.
func (c *Configurer) adopt(body []byte) error {
	c.adoptMu.Lock()
	defer c.adoptMu.Unlock()
	document, err := decodeDocument(body)
	if err != nil {
		return err
	}
	if document.Revision <= c.Document().Revision {
		return nil
	}
	configuration, faults := Expand(document.Templates, document.Organisations, c.FailureDomains)
	if len(faults) > 0 {
		return &rejectedError{faults: faults}
	}
	configuration.Revision = document.Revision
	c.install(document, configuration)
	c.record(EventInForce, "", document.Revision)
	c.wakeRun()
	return nil
}

// install makes the configuration current and notifies the subscribers. The caller
// holds adoptMu.
func (c *Configurer) install(document Document, configuration Configuration) {
	c.mu.Lock()
	c.document = document
	c.current = configuration
	subscribers := c.subscribers
	c.mu.Unlock()
	for _, notify := range subscribers {
		notify(configuration)
	}
}

func (c *Configurer) record(kind recorder.Kind, organisation string, revision int64) {
	c.Recorder.Record(recorder.Event{Kind: kind, Organisation: organisation, Revision: revision, VM: c.VM})
}

func (c *Configurer) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c.mu.Lock()
	registered, stopped := c.registered, c.stopped
	c.mu.Unlock()
	if stopped {
		return nil
	}
	if !registered {
		if err := c.register(ctx); err != nil {
			return err
		}
	}
	if c.Clock.Since(c.lastRead) >= rereadPeriod {
		if err := c.refresh(ctx); err != nil {
			return err
		}
	}
	return c.confirm(ctx)
}

// refresh reads the document from the store and brings it into force.
func (c *Configurer) refresh(ctx context.Context) error {
	stored, err := c.Keeper.Read(ctx, documentKey)
	if err != nil {
		return err
	}
	c.lastRead = c.Clock.Now()
	return c.adopt(stored.Body)
}

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

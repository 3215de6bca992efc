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

// Kinds of events that a Configurer records.
const (
	// EventCommitted is a change that became durable.
	EventCommitted recorder.Kind = "configuration_committed"
	// EventInForce is a revision that came into force in the process.
	EventInForce recorder.Kind = "configuration_in_force"
	// EventConfirmed is a revision that the process confirmed.
	EventConfirmed recorder.Kind = "configuration_confirmed"
	// EventAccepted is a revision that was found confirmed everywhere.
	EventAccepted recorder.Kind = "configuration_accepted"
	// EventRegistered is a process that registered as one that may run a
	// configuration.
	EventRegistered recorder.Kind = "configuration_registered"
	// EventReleased is a VM that an operator declared gone.
	EventReleased recorder.Kind = "configuration_released"
)

// DefaultConfirmWait is how long Apply waits for the confirmations when
// ConfirmWait is zero.
const DefaultConfirmWait = 8 * time.Second

const (
	stepPeriod   = 500 * time.Millisecond
	storeTimeout = 2 * time.Second

	// rereadPeriod bounds how long a change that the watch skipped stays unseen.
	rereadPeriod = 6 * time.Second

	firstPoll   = 25 * time.Millisecond
	slowestPoll = 400 * time.Millisecond
)

// Recorder keeps events of the time line.
type Recorder interface {
	// Record stamps and keeps an event.
	Record(event recorder.Event) recorder.Timestamp
}

// Configurer keeps the configuration of one process and changes that of all.
// Its exported fields are set before Follow and Run. It is safe for concurrent
// use.
type Configurer struct {
	// Clock paces retries and measures permits.
	Clock clockwork.Clock
	// Keeper reaches the store.
	Keeper *keeper.Keeper
	// Mirror is the process's one watch.
	Mirror *keeper.Mirror
	// Recorder keeps the events.
	Recorder Recorder
	// Metrics counts changes.
	Metrics tally.Scope
	// Process is this incarnation of the process. It is never used twice.
	Process string
	// VM is the entry VM. No two processes run on it at the same time.
	VM string
	// FailureDomain is the failure domain of the VM.
	FailureDomain string
	// FailureDomains are all failure domains.
	FailureDomains []string
	// Peers are the other entry VMs. It may be nil.
	Peers Peers
	// ConfirmWait is how long Apply waits for confirmations.
	ConfirmWait time.Duration

	once     sync.Once
	wake     chan struct{}
	adopting sync.Mutex

	mu           sync.Mutex
	subscribers  []func(Configuration)
	document     Document
	current      Configuration
	known        bool
	registered   bool
	stopped      bool
	confirmed    int64
	confirmAfter time.Time
	permitted    time.Time
	learners     map[string]learner

	// own is the record as this process last wrote it, succeeds tells that another
	// process had it before, and reread when the configuration was last read. Only
	// Run uses them.
	own      keeper.Document
	succeeds bool
	reread   time.Time
}

// Subscribe calls notify with each newer configuration as it comes into force,
// one at a time, and once at once if there is one already. A configuration is
// confirmed only after every notify has returned.
func (c *Configurer) Subscribe(notify func(Configuration)) {
	c.adopting.Lock()
	defer c.adopting.Unlock()
	c.mu.Lock()
	c.subscribers = append(c.subscribers, notify)
	current, known := c.current, c.known
	c.mu.Unlock()
	if known {
		notify(current)
	}
}

// Current returns the configuration in force in this process. It is to be used
// only while Ready.
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

// Ready reports whether this process may serve: it knows a revision at least as
// new as any that its failure domain confirmed, and no newer one can be accepted
// without it.
func (c *Configurer) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known || c.stopped {
		return false
	}
	return c.registered || c.Clock.Now().Before(c.permitted)
}

// Follow subscribes to the mirror. It is called once before the mirror runs.
func (c *Configurer) Follow() {
	c.Mirror.Subscribe(documentKey, c.observe)
}

// Run registers the process, brings newer configurations into force and confirms
// them until ctx ends. It returns a *ReplacedError where another process took
// its place.
func (c *Configurer) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var learning sync.WaitGroup
	learning.Go(func() { c.learnUntilRegistered(ctx) })
	defer learning.Wait()
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
			klog.V(1).InfoS("Configuration is not confirmed", "vm", c.VM, "err", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-c.waker():
		case <-ticker.Chan():
		}
	}
}

// Leave withdraws the process. It is called after the process has served its
// last request, so that no acceptance waits for it.
func (c *Configurer) Leave(ctx context.Context) error {
	c.stop()
	if err := c.awaitLearners(ctx); err != nil {
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

func (c *Configurer) waker() chan struct{} {
	c.once.Do(func() { c.wake = make(chan struct{}, 1) })
	return c.wake
}

func (c *Configurer) signal() {
	select {
	case c.waker() <- struct{}{}:
	default:
	}
}

func (c *Configurer) observe(entries []keeper.Entry) {
	for _, entry := range entries {
		if entry.Key != documentKey {
			continue
		}
		if err := c.adoptEntry(entry); err != nil {
			klog.ErrorS(err, "Configuration can't be read", "vm", c.VM)
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

// adopt brings the stored document into force unless it is older. It returns an
// error where this process can't run it.
func (c *Configurer) adopt(body []byte) error {
	c.adopting.Lock()
	defer c.adopting.Unlock()
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
	c.signal()
	return nil
}

// install makes the configuration current and tells the subscribers; the caller
// holds adopting.
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
	if c.Clock.Since(c.reread) >= rereadPeriod {
		if err := c.read(ctx); err != nil {
			return err
		}
	}
	return c.confirm(ctx)
}

// read brings the document that the store holds now into force.
func (c *Configurer) read(ctx context.Context) error {
	stored, err := c.Keeper.Read(ctx, documentKey)
	if err != nil {
		return err
	}
	c.reread = c.Clock.Now()
	return c.adopt(stored.Body)
}

// register records that this process may run a configuration, and only then
// reads which one. A later acceptance therefore finds the record, and an earlier
// one is part of what is read.
func (c *Configurer) register(ctx context.Context) error {
	written, err := c.Keeper.Update(ctx, memberKey(c.FailureDomain, c.VM), func(d keeper.Document) ([]byte, error) {
		previous, found, err := decodeMember(d)
		if err != nil {
			return nil, err
		}
		if c.isStopped() {
			return nil, errStopped
		}
		c.succeeds = c.succeeds || found && previous.Process != c.Process
		own := Member{VM: c.VM, FailureDomain: c.FailureDomain, Process: c.Process, Revision: previous.Revision}
		return own.encode()
	})
	if err != nil {
		return err
	}
	c.own = written
	if err := c.read(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	c.known = true
	c.registered = true
	c.confirmed = 0
	if c.succeeds {
		c.confirmAfter = c.Clock.Now().Add(permitLapse)
	}
	c.mu.Unlock()
	c.record(EventRegistered, "", c.Current().Revision)
	return nil
}

// confirm records the revision in force, once no process that this one permits
// runs an older one.
func (c *Configurer) confirm(ctx context.Context) error {
	revision, due := c.confirmable()
	if !due {
		return nil
	}
	written, err := c.Keeper.UpdateFrom(ctx, c.own, func(d keeper.Document) ([]byte, error) {
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
		c.withdraw()
		return err
	}
	if err != nil {
		return err
	}
	c.own = written
	c.mu.Lock()
	c.confirmed = revision
	c.mu.Unlock()
	c.record(EventConfirmed, "", revision)
	return nil
}

// confirmable returns the revision to confirm and whether it can be confirmed.
func (c *Configurer) confirmable() (revision int64, due bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	revision = c.current.Revision
	if revision <= c.confirmed || now.Before(c.confirmAfter) {
		return revision, false
	}
	return revision, c.learnersReached(revision, now)
}

// withdraw makes the process register again before it is ready.
func (c *Configurer) withdraw() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registered = false
	c.known = false
}

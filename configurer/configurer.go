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

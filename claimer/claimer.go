// Package claimer decides which process holds a cell: one of the cell's own failure domain, or, if
// that has none, one of another. A claim consists of two keys of
// the store: the holder key, which registers the holder and ends with the holder's
// store lease, and the term key, which stays until the next holder writes it. The
// revision of the term key is the epoch that fences the holder's commands. A holder
// whose lease has ended may therefore continue, and re-register itself, as long as no
// other process has begun a term.
package claimer

import (
	"context"
	"encoding/json"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"zinniashore.example/platform"
	"zinniashore.example/watcher"
)

const (
	// leaseTTL is how long a claim outlives its holder.
	leaseTTL      = 2500 * time.Millisecond
	renewInterval = 800 * time.Millisecond
	// renewRetryInterval is short enough that the holder finds a recovered store before
	// other processes may claim the cell.
	renewRetryInterval = 150 * time.Millisecond
	// renewTimeout leaves time for another renewal within leaseTTL if one gets no answer.
	renewTimeout = 700 * time.Millisecond
	watchWait    = 2 * time.Second
	// expiredClaimDelay delays the claim of a cell whose last claim expired, so that
	// the process that held the cell can re-register first.
	expiredClaimDelay = 250 * time.Millisecond
	// rankDelay separates the claims of candidates of different rank.
	rankDelay         = 60 * time.Millisecond
	rankCount         = 4
	claimPollInterval = 250 * time.Millisecond
	// weaknessDelay is how much later a process with half of the processors of the strongest
	// known holder claims a cell, maxWeaknessDelay how much later the weakest one does.
	weaknessDelay    = 60 * time.Millisecond
	maxWeaknessDelay = 400 * time.Millisecond
	// heldCellDelay is how much later a process claims a cell of its own failure domain for each
	// one that it holds already.
	heldCellDelay = 200 * time.Millisecond
	// minClaimRetryDelay is the minimum delay after a failed claim.
	minClaimRetryDelay = 200 * time.Millisecond
	// returnGrace is how long a cell is left to its last holder, so that a holder that
	// still has its workers can re-register. It is limited because a holder that the
	// store refuses has to lose the cell.
	returnGrace = 1500 * time.Millisecond
	// holdsTimeout bounds the request to the last holder.
	holdsTimeout = 150 * time.Millisecond
	// releaseTimeout bounds the last store calls of a process that shuts down.
	releaseTimeout = time.Second
)

// Store is the part of the platform's store that a Claimer uses.
type Store interface {
	watcher.Store
	Get(ctx context.Context, key string) (platform.Item, error)
	Commit(ctx context.Context, t platform.Transaction) (int64, error)
	Grant(ctx context.Context, ttl time.Duration) (int64, time.Duration, error)
	Renew(ctx context.Context, lease int64) error
	Release(ctx context.Context, lease int64) error
}

// Holder is the process that holds a cell.
type Holder struct {
	// Process is its name, empty if the cell was released.
	Process string
	// FailureDomain is the failure domain of the process, empty if unknown.
	FailureDomain string
	// Address is the address at which it serves its peers.
	Address string
	// Incarnation is unique to the run of the process.
	Incarnation string
	// Processors is how many processors the process may use, less than 1 for a part of
	// one; 0 if unknown.
	Processors float64
	// FullLeaseAge is the age of its newest confirmation up to which the holder grants leases of full
	// duration; 0 if unknown.
	FullLeaseAge time.Duration
	// MaxIsolation is how long the holder acts, and its leases last, after its last write under its term; 0 if
	// that has no limit.
	MaxIsolation time.Duration
}

type holderMessage struct {
	Process        string  `json:"process"`
	FailureDomain  string  `json:"failure_domain,omitempty"`
	Address        string  `json:"address"`
	Incarnation    string  `json:"incarnation"`
	Processors     float64 `json:"processors,omitempty"`
	FullLeaseAgeMS int64   `json:"full_lease_age_ms,omitempty"`
	MaxIsolationMS int64   `json:"max_isolation_ms,omitempty"`
	// LeasesMS holds Term.Leases of the next term. It is set when the cell is released.
	LeasesMS map[string]int64 `json:"leases_ms,omitempty"`
	// Runs holds Term.Leases.Runs of the next term. It is set when the cell is released.
	Runs map[string][]taskMessage `json:"runs,omitempty"`
	// EarlierProcesses holds Term.ProcessLeases of the next term. It is set when the cell is released.
	EarlierProcesses []processLeaseMessage `json:"earlier_processes,omitempty"`
}

type taskMessage struct {
	Job        string `json:"job"`
	Occurrence int    `json:"occurrence,omitempty"`
	Step       int    `json:"step,omitempty"`
	Index      int    `json:"task,omitempty"`
}

type processLeaseMessage struct {
	Worker  string `json:"worker"`
	Boot    int64  `json:"boot"`
	LeaseMS int64  `json:"lease_ms"`
}

func newHolderMessage(h Holder) holderMessage {
	return holderMessage{
		Process: h.Process, FailureDomain: h.FailureDomain, Address: h.Address, Incarnation: h.Incarnation,
		Processors: h.Processors, FullLeaseAgeMS: h.FullLeaseAge.Milliseconds(),
		MaxIsolationMS: h.MaxIsolation.Milliseconds(),
	}
}

func (m holderMessage) holder() Holder {
	return Holder{
		Process: m.Process, FailureDomain: m.FailureDomain, Address: m.Address, Incarnation: m.Incarnation,
		Processors: m.Processors, FullLeaseAge: time.Duration(m.FullLeaseAgeMS) * time.Millisecond,
		MaxIsolation: time.Duration(m.MaxIsolationMS) * time.Millisecond,
	}
}

// leases returns Term.Leases of the term after a release.
func (m holderMessage) leases() Leases {
	leases := Leases{Workers: make(map[string]time.Duration, len(m.LeasesMS)), Runs: make(map[string][]Task, len(m.Runs))}
	for worker, left := range m.LeasesMS {
		leases.Workers[worker] = time.Duration(left) * time.Millisecond
	}
	for worker, tasks := range m.Runs {
		leases.Runs[worker] = nil
		for _, t := range tasks {
			leases.Runs[worker] = append(leases.Runs[worker], Task(t))
		}
	}
	for _, p := range m.EarlierProcesses {
		leases.EarlierProcesses = append(leases.EarlierProcesses, ProcessLease{
			Worker: p.Worker, Boot: p.Boot, Left: time.Duration(p.LeaseMS) * time.Millisecond,
		})
	}
	return leases
}

// newReleaseMessage returns the value of the key of a cell that is released.
func newReleaseMessage(leases Leases) holderMessage {
	message := holderMessage{LeasesMS: make(map[string]int64, len(leases.Workers)), Runs: make(map[string][]taskMessage, len(leases.Runs))}
	for worker, left := range leases.Workers {
		message.LeasesMS[worker] = roundUp(left)
	}
	for worker, tasks := range leases.Runs {
		message.Runs[worker] = []taskMessage{}
		for _, t := range tasks {
			message.Runs[worker] = append(message.Runs[worker], taskMessage(t))
		}
	}
	for _, p := range leases.EarlierProcesses {
		message.EarlierProcesses = append(message.EarlierProcesses, processLeaseMessage{Worker: p.Worker, Boot: p.Boot, LeaseMS: roundUp(p.Left)})
	}
	return message
}

// roundUp returns a duration in milliseconds, rounded up.
func roundUp(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

// Claimer claims cells. Its exported fields are set before Run.
type Claimer struct {
	Store Store
	Clock clockwork.Clock
	// Prefix is the prefix of the keys of holders, TermPrefix of the terms.
	Prefix, TermPrefix string
	// Self is this process.
	Self Holder
	// AssumedProcessors is how many processors the strongest candidate is assumed to have while no
	// holder is known; 0 assumes that none is stronger than this one.
	AssumedProcessors float64
	// HomeCells are the cells of this process's own failure domain.
	HomeCells []string
	// OtherCells are the cells of other failure domains. This process claims one of them only if
	// no process of that domain does.
	OtherCells []string
	// Hold runs the cell until ctx ends or the cell is lost.
	Hold func(ctx context.Context, cell string, term Term) error
	// Leases, if set, returns Term.Leases of the next term of a cell. It is called once Hold has returned, before
	// the cell is released.
	Leases func(cell string) Leases
	// Eligible reports whether this process may hold a cell now.
	Eligible func() bool
	// Holds asks another process whether it still holds a cell according to its
	// workers.
	Holds func(ctx context.Context, holder Holder, cell string) bool
	// Unanswered, if set, returns how many calls of this process in a row another one hasn't answered. It is
	// for logs only.
	Unanswered func(holder Holder) int
	// HasWorkers reports whether the registry lists the workers of a cell, so that they can be
	// reached although no holder is registered.
	HasWorkers func(ctx context.Context, cell string) bool

	mu      sync.Mutex
	holders map[string]claim
	// lastHolders are the holders that were registered last, by cell.
	lastHolders map[string]Holder
	// strongest is the largest number of processors of a holder of any cell so far.
	strongest   float64
	candidacies []*candidacy
	changed     chan struct{}
	synced      bool
}

// Replace implements watcher.Handler.
func (c *Claimer) Replace(items []platform.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holders = map[string]claim{}
	for _, item := range items {
		c.setHolder(item)
	}
	c.synced = true
	c.notifyChange()
}

// Apply implements watcher.Handler.
func (c *Claimer) Apply(events ...platform.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range events {
		if event.Removed {
			delete(c.holders, strings.TrimPrefix(event.Key, c.Prefix))
		} else {
			c.setHolder(event.Item)
		}
	}
	c.notifyChange()
}

func (c *Claimer) setHolder(item platform.Item) {
	cell := strings.TrimPrefix(item.Key, c.Prefix)
	var message holderMessage
	if err := json.Unmarshal(item.Value, &message); err != nil {
		klog.ErrorS(err, "Failed to decode the claim", "cell", cell)
		return
	}
	if c.holders == nil {
		c.holders = map[string]claim{}
	}
	if c.holders[cell].revision > item.Revision {
		return
	}
	c.holders[cell] = claim{
		Holder:   message.holder(),
		revision: item.Revision,
		leases:   message.leases(),
	}
	c.strongest = max(c.strongest, message.Processors)
}

// claim is a holder and the revision of its key.
type claim struct {
	Holder
	revision int64
	// leases is Term.Leases of the term after a release.
	leases Leases
}

// notifyChange updates the state that follows from the holders and wakes the
// goroutines that wait for a change; the caller holds mu.
func (c *Claimer) notifyChange() {
	if c.lastHolders == nil {
		c.lastHolders = map[string]Holder{}
	}
	for cell, entry := range c.holders {
		if entry.Process != "" {
			c.lastHolders[cell] = entry.Holder
		}
	}
	for _, k := range c.candidacies {
		k.updateFree()
	}
	if c.changed != nil {
		close(c.changed)
	}
	c.changed = make(chan struct{})
}

// outside reports whether the process is of another failure domain than the given one.
func (h Holder) outside(failureDomain string) bool {
	return h.FailureDomain != "" && h.FailureDomain != failureDomain
}

// Holder returns the process that was last registered as the holder of a cell, and
// whether there was one. A holder whose registration has expired continues until
// another process begins a term.
func (c *Claimer) Holder(cell string) (Holder, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	holder, found := c.lastHolders[cell]
	return holder, found
}

// HasHolder reports whether a process is registered as the holder of a cell now.
func (c *Claimer) HasHolder(cell string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	holder, held := c.holders[cell]
	return held && holder.Process != ""
}

// Cells returns the cells with their last registered holders.
func (c *Claimer) Cells() map[string]Holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.lastHolders)
}

// Run claims cells whenever they are free, until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	for _, k := range c.stand() {
		running.Add(1)
		go func() {
			defer running.Done()
			k.run(ctx)
		}()
	}
	running.Add(1)
	go func() {
		defer running.Done()
		holders := watcher.Watcher{Store: c.Store, Clock: c.Clock, Prefix: c.Prefix, Handler: c, Wait: watchWait}
		if err := holders.Run(ctx); err != nil {
			klog.ErrorS(err, "Watch of the claims ended")
		}
	}()
	<-ctx.Done()
	return nil
}

// stand makes this process a candidate for all cells and returns the candidacies.
func (c *Claimer) stand() []*candidacy {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.candidacies = nil
	for _, cell := range c.HomeCells {
		c.candidacies = append(c.candidacies, &candidacy{Claimer: c, cell: cell})
	}
	for _, cell := range c.OtherCells {
		c.candidacies = append(c.candidacies, &candidacy{Claimer: c, cell: cell, outside: true})
	}
	return c.candidacies
}

// weaknessDelay returns how long this process waits for a stronger one. A process with few
// processors is behind as the holder of a large cell.
func (c *Claimer) weaknessDelay() time.Duration {
	strongest := c.strongest
	if strongest == 0 {
		strongest = c.AssumedProcessors
	}
	if c.Self.Processors <= 0 || strongest <= c.Self.Processors {
		return 0
	}
	delay := float64(weaknessDelay) * (strongest/c.Self.Processors - 1)
	return time.Duration(min(delay, float64(maxWeaknessDelay)))
}

// Package claimer decides which process holds a cell. A claim has two keys of
// the store: the holder's name, which ends with the holder's store lease, and
// the term, which stays until the next holder writes it. The revision of the
// term is the epoch that fences the holder's orders, so a holder whose lease has
// ended may go on, and name itself again, as long as nobody else has begun.
package claimer

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"zinniashore.example/platform"
	"zinniashore.example/watcher"
)

const (
	// leaseLength is how long a claim outlives its holder.
	leaseLength   = 2500 * time.Millisecond
	renewInterval = 800 * time.Millisecond
	// renewRetry finds a store that is back before others may claim the cell.
	renewRetry = 150 * time.Millisecond
	watchWait  = 5 * time.Second
	// orphanPause leaves a claim that ended to the process that held it.
	orphanPause = 250 * time.Millisecond
	// rankPause separates the candidates for a claim.
	rankPause = 60 * time.Millisecond
	ranks     = 4
	claimPoll = 250 * time.Millisecond
	// claimRetry is the least pause after a claim that failed.
	claimRetry = 200 * time.Millisecond
	// returnLimit is how long a cell whose holder still has its workers is left to
	// it, to name itself again. A holder that the store refuses has to let go.
	returnLimit = 1500 * time.Millisecond
	// holdsTimeout bounds the question to the last holder.
	holdsTimeout = 150 * time.Millisecond
	// giveUpLimit bounds the last calls of a process that leaves.
	giveUpLimit = time.Second
)

// Store is the part of the platform's store that is used here.
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
	// Process is its name; empty if the cell was given up.
	Process string
	// Address is where it takes the calls of its peers.
	Address string
	// Incarnation is unique to the run of the process.
	Incarnation string
}

type holderMessage struct {
	Process     string `json:"process"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
}

// Claimer claims cells. Its exported fields are set before Run.
type Claimer struct {
	Store Store
	Clock clockwork.Clock
	// Prefix is the prefix of the keys of holders, TermPrefix of the terms.
	Prefix, TermPrefix string
	// Self is this process.
	Self Holder
	// Candidate is the cell that this process may claim.
	Candidate string
	// Hold runs the cell until ctx ends or the cell is lost.
	Hold func(ctx context.Context, cell string, epoch int64) error
	// Eligible reports whether this process may hold a cell now.
	Eligible func() bool
	// Holds asks another process whether it holds a cell by the word of its
	// workers.
	Holds func(ctx context.Context, holder Holder, cell string) bool

	mu      sync.Mutex
	holders map[string]claim
	// last is who was last named, by cell.
	last map[string]Holder
	// freeSince is when the candidate cell was seen without a holder.
	freeSince time.Time
	// patientSince is since when the last holder is given time to return: the first
	// answer of the store after the cell got free, or after the store was away. It
	// is zero before.
	patientSince time.Time
	// heldLast says that this process held the cell before it got free.
	heldLast bool
	changed  chan struct{}
	listed   bool
}

// Replace implements watcher.Handler.
func (c *Claimer) Replace(items []platform.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holders = map[string]claim{}
	for _, item := range items {
		c.set(item)
	}
	c.listed = true
	c.noteChange()
}

// Apply implements watcher.Handler.
func (c *Claimer) Apply(event platform.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if event.Removed {
		delete(c.holders, strings.TrimPrefix(event.Key, c.Prefix))
	} else {
		c.set(event.Item)
	}
	c.noteChange()
}

func (c *Claimer) set(item platform.Item) {
	cell := strings.TrimPrefix(item.Key, c.Prefix)
	var m holderMessage
	if err := json.Unmarshal(item.Value, &m); err != nil {
		klog.ErrorS(err, "Claim can't be read", "cell", cell)
		return
	}
	if c.holders == nil {
		c.holders = map[string]claim{}
	}
	if c.holders[cell].revision > item.Revision {
		return
	}
	c.holders[cell] = claim{
		Holder:   Holder(m),
		revision: item.Revision,
	}
}

// claim is a holder and the revision of its key.
type claim struct {
	Holder
	revision int64
}

// noteChange tells who waits for a change; the caller holds mu.
func (c *Claimer) noteChange() {
	holder, held := c.holders[c.Candidate]
	if c.last == nil {
		c.last = map[string]Holder{}
	}
	for cell, named := range c.holders {
		if named.Process != "" {
			c.last[cell] = named.Holder
		}
	}
	switch {
	case held && holder.Process != "":
		c.freeSince = time.Time{}
		c.heldLast = holder.Incarnation == c.Self.Incarnation
	case c.freeSince.IsZero():
		c.freeSince = c.Clock.Now()
		c.patientSince = time.Time{}
	}
	if c.changed != nil {
		close(c.changed)
	}
	c.changed = make(chan struct{})
}

// Holder returns who was last named the holder of a cell, and whether anyone was.
// A holder whose name has lapsed goes on until another one begins.
func (c *Claimer) Holder(cell string) (Holder, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	holder, named := c.last[cell]
	return holder, named
}

// Named reports whether a process is named the holder of a cell now.
func (c *Claimer) Named(cell string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	holder, held := c.holders[cell]
	return held && holder.Process != ""
}

// Cells returns the cells and who was last named their holder.
func (c *Claimer) Cells() map[string]Holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.last)
}

// Run claims the candidate cell whenever it is free, until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	var waiting sync.WaitGroup
	defer waiting.Wait()
	waiting.Add(1)
	go func() {
		defer waiting.Done()
		w := watcher.Watcher{Store: c.Store, Clock: c.Clock, Prefix: c.Prefix, Handler: c, Wait: watchWait}
		if err := w.Run(ctx); err != nil {
			klog.ErrorS(err, "Claims are no longer watched")
		}
	}()
	for ctx.Err() == nil {
		expected, free := c.free()
		if free && !c.returns(ctx) && !c.claim(ctx, expected) {
			c.pause(ctx)
			continue
		}
		c.await(ctx)
	}
	return nil
}

// pause waits after a claim that failed, so that a store in trouble gets few.
func (c *Claimer) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-c.Clock.After(claimRetry + rand.N(claimRetry)):
	}
}

// await waits for a change of the claims, a little at most.
func (c *Claimer) await(ctx context.Context) {
	c.mu.Lock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	changed := c.changed
	c.mu.Unlock()
	pause := claimPoll
	c.mu.Lock()
	if !c.freeSince.IsZero() {
		pause = rankPause / 2
	}
	c.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-c.Clock.After(pause):
	}
}

// free reports whether this process may claim the candidate cell now, and the
// revision of the claim that it would replace.
func (c *Claimer) free() (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.listed || !c.Eligible() {
		return 0, false
	}
	holder, held := c.holders[c.Candidate]
	if held && holder.Process == c.Self.Process && holder.Incarnation != c.Self.Incarnation {
		return holder.revision, true
	}
	if held && holder.Process != "" || c.freeSince.IsZero() {
		return 0, false
	}
	pause := c.rank()
	if !held && !c.heldLast {
		pause += orphanPause
	}
	return holder.revision, c.Clock.Now().Sub(c.freeSince) >= pause
}

// returns reports whether the candidate cell is left to its last holder, whose
// name has lapsed while it kept its workers.
func (c *Claimer) returns(ctx context.Context) bool {
	c.mu.Lock()
	last, named := c.last[c.Candidate]
	_, held := c.holders[c.Candidate]
	patient := !c.patientSince.IsZero() && c.Clock.Now().Sub(c.patientSince) < returnLimit
	c.mu.Unlock()
	if held || !named || !patient || last.Process == c.Self.Process {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, holdsTimeout)
	defer cancel()
	return c.Holds(ctx, last, c.Candidate)
}

// rank returns how long this process lets others go first.
func (c *Claimer) rank() time.Duration {
	if c.heldLast {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(c.Self.Process + c.Candidate))
	return time.Duration(h.Sum32()%ranks) * rankPause
}

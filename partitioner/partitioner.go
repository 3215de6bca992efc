package partitioner

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"zinniashore.example/platform"
)

const (
	// readInterval is how often the registry is read until its workers are complete, and
	// retryDelay the delay after a failed call of the store, before its jitter.
	readInterval = 250 * time.Millisecond
	retryDelay   = 200 * time.Millisecond
	// settlingTime is for how long the registered workers must stay the same before they
	// count as complete: workers that start together register one after the other.
	settlingTime = time.Second
	// maxSettlingTime is how long the workers may take to register. A domain without
	// workers by then has one cell.
	maxSettlingTime = 4 * time.Second
	// callTimeout bounds a call of the store, registryTimeout one that reads the whole registry,
	// which is long where there are thousands of workers.
	callTimeout     = time.Second
	registryTimeout = 5 * time.Second
	// largeRegistry is the number of workers above which a single process polls the registry.
	largeRegistry = 300
	// dividerTTL is how long one process may take to divide the domains before another one does.
	dividerTTL = 8 * time.Second
	// dividerSuffix is appended to the key of the partition to get the key of the process that
	// divides the domains.
	dividerSuffix = "/divider"
)

// Store is the subset of platform.Store that a Partitioner uses.
type Store interface {
	List(ctx context.Context, prefix string) ([]platform.Item, int64, error)
	Commit(ctx context.Context, transaction platform.Transaction) (int64, error)
	Grant(ctx context.Context, ttl time.Duration) (int64, time.Duration, error)
}

// Partitioner reads the stored partition, or stores one. Its exported fields are set before
// Partition is called.
type Partitioner struct {
	Store Store
	Clock clockwork.Clock
	// Key is the key of the partition, TermPrefix the prefix of the keys of the terms of cells.
	Key, TermPrefix string
}

// Partition returns the stored partition. If there is none, it waits until the workers have
// registered, and stores the division of their failure domains, unless another process is first. A
// large registry is polled by a single process, since its reads would fill the store's link.
// Partition retries until it succeeds or ctx ends.
func (p *Partitioner) Partition(ctx context.Context) (Partition, error) {
	var d divider
	for ctx.Err() == nil {
		partition, found, err := p.attempt(ctx, &d)
		if found {
			klog.InfoS("Failure domains divided into cells", "partition", partition.describe())
			return partition, nil
		}
		pause := readInterval
		if err != nil {
			klog.ErrorS(err, "Reading or storing the division into cells failed; retrying")
			pause = retryDelay + rand.N(retryDelay)
		}
		select {
		case <-ctx.Done():
		case <-p.Clock.After(pause):
		}
	}
	return Partition{}, ctx.Err()
}

// attempt returns the stored partition, and whether there is one. If there is none and the workers
// have registered, it stores one first, unless that is left to another process.
func (p *Partitioner) attempt(ctx context.Context, d *divider) (Partition, bool, error) {
	partition, found, err := p.read(ctx, d)
	if found || err != nil {
		return partition, found, err
	}
	if d.large && !d.divides(p.Clock.Now()) {
		return Partition{}, false, p.becomeDivider(ctx, d)
	}
	settled, err := p.readRegistry(ctx, &d.registry)
	if err != nil {
		return Partition{}, false, err
	}
	d.large = d.large || len(d.registry.workers) > largeRegistry
	if !settled || d.large && !d.divides(p.Clock.Now()) {
		return Partition{}, false, nil
	}
	if err := p.divide(ctx, d.registry.workers); err != nil {
		return Partition{}, false, err
	}
	return p.read(ctx, d)
}

// divider is the state of a process that may divide the failure domains.
type divider struct {
	// large is true once the registry was seen to have more than largeRegistry workers.
	large bool
	// other is true if another process divides them.
	other bool
	// until is when this process's time as the divider ends, zero if it isn't the divider.
	until    time.Time
	registry settling
}

func (d *divider) divides(now time.Time) bool { return now.Before(d.until) }

// read returns the stored partition, and whether there is one.
func (p *Partitioner) read(ctx context.Context, d *divider) (Partition, bool, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, p.Clock, callTimeout)
	defer cancel()
	items, _, err := p.Store.List(ctx, p.Key)
	if err != nil {
		return Partition{}, false, err
	}
	d.other = false
	for _, item := range items {
		switch item.Key {
		case p.Key:
			partition, err := decode(item.Value)
			return partition, err == nil, err
		case p.Key + dividerSuffix:
			d.other = !d.divides(p.Clock.Now())
		}
	}
	return Partition{}, false, nil
}

// becomeDivider makes this process the divider unless another one is.
func (p *Partitioner) becomeDivider(ctx context.Context, d *divider) error {
	if d.other {
		return nil
	}
	ctx, cancel := clockwork.WithTimeout(ctx, p.Clock, callTimeout)
	defer cancel()
	began := p.Clock.Now()
	lease, _, err := p.Store.Grant(ctx, dividerTTL)
	if err != nil {
		return err
	}
	key := p.Key + dividerSuffix
	_, err = p.Store.Commit(ctx, platform.Transaction{
		Expect: []platform.Expectation{{Key: key}},
		Writes: []platform.Item{{Key: key, Value: []byte("{}"), Lease: lease}},
	})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return nil // another process is the divider
	}
	if err == nil {
		*d = divider{large: true, until: began.Add(dividerTTL)}
	}
	return err
}

// settling is what the registry has shown so far.
type settling struct {
	workers []Worker
	// began is when the registry was first read, changedAt when its workers were last seen to
	// change.
	began, changedAt time.Time
}

// readRegistry reads the registered workers and reports whether they are complete.
func (p *Partitioner) readRegistry(ctx context.Context, s *settling) (bool, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, p.Clock, registryTimeout)
	defer cancel()
	items, _, err := p.Store.List(ctx, platform.RegistrationPrefix)
	if err != nil {
		return false, err
	}
	now := p.Clock.Now()
	if s.began.IsZero() {
		s.began, s.changedAt = now, now
	}
	workers := decodeWorkers(items)
	if !slices.Equal(workers, s.workers) {
		s.workers, s.changedAt = workers, now
	}
	complete := len(s.workers) > 0 && now.Sub(s.changedAt) >= settlingTime
	return complete || now.Sub(s.began) >= maxSettlingTime, nil
}

// decodeWorkers returns the registered workers in the order of their keys.
func decodeWorkers(items []platform.Item) []Worker {
	var workers []Worker
	for _, item := range items {
		registration, err := platform.DecodeRegistration(item)
		if err != nil {
			klog.V(1).InfoS("Leaving out a registration that can't be decoded", "worker", registration.ID, "err", err)
			continue
		}
		workers = append(workers, Worker{FailureDomain: registration.FailureDomain, Rack: registration.Rack})
	}
	return workers
}

// divide stores the division of the failure domains of workers if none is stored. A domain whose
// cell has already had a holder isn't divided: jobs and runs belong to that cell.
func (p *Partitioner) divide(ctx context.Context, workers []Worker) error {
	ctx, cancel := clockwork.WithTimeout(ctx, p.Clock, callTimeout)
	defer cancel()
	terms, _, err := p.Store.List(ctx, p.TermPrefix)
	if err != nil {
		return err
	}
	undivided := map[string]bool{}
	for _, term := range terms {
		undivided[strings.TrimPrefix(term.Key, p.TermPrefix)] = true
	}
	content, err := encode(Divide(workers, undivided))
	if err != nil {
		return err
	}
	_, err = p.Store.Commit(ctx, platform.Transaction{
		Expect: []platform.Expectation{{Key: p.Key}},
		Writes: []platform.Item{{Key: p.Key, Value: content}},
	})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return nil // another process was first
	}
	return err
}

// describe returns the number of cells of each failure domain, for logs.
func (p Partition) describe() map[string]int {
	cells := map[string]int{}
	for _, domain := range slices.Sorted(maps.Keys(p.domains)) {
		cells[domain] = p.domains[domain].cells
	}
	return cells
}

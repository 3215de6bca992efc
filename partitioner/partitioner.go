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
	// callTimeout bounds a call of the store.
	callTimeout = time.Second
)

// Store is the subset of platform.Store that a Partitioner uses.
type Store interface {
	Get(ctx context.Context, key string) (platform.Item, error)
	List(ctx context.Context, prefix string) ([]platform.Item, int64, error)
	Commit(ctx context.Context, transaction platform.Transaction) (int64, error)
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
// registered, and stores the division of their failure domains, unless another process is
// first. It retries until it succeeds or ctx ends.
func (p *Partitioner) Partition(ctx context.Context) (Partition, error) {
	var registry settling
	for ctx.Err() == nil {
		partition, found, err := p.attempt(ctx, &registry)
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
// have registered, it stores one first.
func (p *Partitioner) attempt(ctx context.Context, registry *settling) (Partition, bool, error) {
	partition, found, err := p.read(ctx)
	if found || err != nil {
		return partition, found, err
	}
	settled, err := p.readRegistry(ctx, registry)
	if err != nil || !settled {
		return Partition{}, false, err
	}
	if err := p.divide(ctx, registry.workers); err != nil {
		return Partition{}, false, err
	}
	return p.read(ctx)
}

// read returns the stored partition, and whether there is one.
func (p *Partitioner) read(ctx context.Context) (Partition, bool, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, p.Clock, callTimeout)
	defer cancel()
	item, err := p.Store.Get(ctx, p.Key)
	if err != nil || item.Revision == 0 {
		return Partition{}, false, err
	}
	partition, err := decode(item.Value)
	return partition, err == nil, err
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
	ctx, cancel := clockwork.WithTimeout(ctx, p.Clock, callTimeout)
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

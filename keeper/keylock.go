package keeper

import (
	"context"
	"sync"
)

// keyLocks serialises the updates of the same document by one process, which would
// only conflict with each other at the store.
type keyLocks struct {
	mu    sync.Mutex
	locks map[string]*keyLock
}

// keyLock is the lock of one document. It exists while an update holds it or waits for
// it.
type keyLock struct {
	references int
	held       chan struct{}
}

// lock waits for the lock of a document and returns the function that releases it.
func (kl *keyLocks) lock(ctx context.Context, key string) (unlock func(), err error) {
	entry := kl.addReference(key)
	select {
	case entry.held <- struct{}{}:
	case <-ctx.Done():
		kl.dropReference(key)
		return nil, ctx.Err()
	}
	return func() {
		<-entry.held
		kl.dropReference(key)
	}, nil
}

func (kl *keyLocks) addReference(key string) *keyLock {
	kl.mu.Lock()
	defer kl.mu.Unlock()
	if kl.locks == nil {
		kl.locks = map[string]*keyLock{}
	}
	entry, found := kl.locks[key]
	if !found {
		entry = &keyLock{held: make(chan struct{}, 1)}
		kl.locks[key] = entry
	}
	entry.references++
	return entry
}

func (kl *keyLocks) dropReference(key string) {
	kl.mu.Lock()
	defer kl.mu.Unlock()
	entry := kl.locks[key]
	entry.references--
	if entry.references == 0 {
		delete(kl.locks, key)
	}
}

package keeper

import (
	"context"
	"sync"
)

// turns lets updates of the same document by one process take turns: they would
// only conflict at the store.
type turns struct {
	mu    sync.Mutex
	turns map[string]*turn
}

// turn is the turn of one document. It exists while somebody uses it.
type turn struct {
	users int
	taken chan struct{}
}

// take waits for the turn of a document and returns what ends it.
func (t *turns) take(ctx context.Context, key string) (end func(), err error) {
	own := t.join(key)
	select {
	case own.taken <- struct{}{}:
	case <-ctx.Done():
		t.leave(key)
		return nil, ctx.Err()
	}
	return func() {
		<-own.taken
		t.leave(key)
	}, nil
}

func (t *turns) join(key string) *turn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.turns == nil {
		t.turns = map[string]*turn{}
	}
	own, found := t.turns[key]
	if !found {
		own = &turn{taken: make(chan struct{}, 1)}
		t.turns[key] = own
	}
	own.users++
	return own
}

func (t *turns) leave(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.turns[key]
	own.users--
	if own.users == 0 {
		delete(t.turns, key)
	}
}

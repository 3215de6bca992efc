package keeper

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"
)

const (
	// watchWait is short enough that a change is in force within its bound even if the
	// connection of a watch is half-open.
	watchWait       = 3 * time.Second
	mirrorRetryWait = 500 * time.Millisecond
)

// WatchedPrefix is the prefix of the keys that every process mirrors with its one
// watch. Keys that change often are stored under other prefixes.
const WatchedPrefix = "watched/"

// Mirror keeps the keys under a prefix in memory and updates them by one watch. During
// an outage of the store it keeps the last known state. It never returns to an older
// revision.
type Mirror struct {
	// Store is the platform's key-value service.
	Store Store
	// Clock times the retries.
	Clock clockwork.Clock
	// Prefix selects the keys.
	Prefix string

	mu          sync.Mutex
	entries     map[string]Entry
	revision    int64
	lastContact time.Time
	subscribers []subscription
}

type subscription struct {
	prefix string
	notify func([]Entry)
}

// Subscribe calls notify with the entries under prefix after each change of one of them,
// and after each listing. It is called before Run. Calls of notify are made one at a time
// from the goroutine of Run.
func (m *Mirror) Subscribe(prefix string, notify func(entries []Entry)) {
	m.subscribers = append(m.subscribers, subscription{prefix: prefix, notify: notify})
}

// Entries returns the entries under prefix, sorted by key.
func (m *Mirror) Entries(prefix string) []Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	var entries []Entry
	for key, entry := range m.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, entry)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries
}

// LastContact returns when the store last answered, zero if never, and the
// revision up to which the mirror is complete.
func (m *Mirror) LastContact() (time.Time, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastContact, m.revision
}

// Run mirrors the keys until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	listed := false
	for ctx.Err() == nil {
		var err error
		if listed {
			err = m.follow(ctx)
		} else {
			err = m.list(ctx)
		}
		var compacted *CompactedError
		switch {
		case err == nil:
			listed = true
		case errors.As(err, &compacted):
			listed = false
		default:
			m.wait(ctx, err)
		}
	}
	return nil
}

func (m *Mirror) wait(ctx context.Context, err error) {
	if ctx.Err() == nil {
		klog.V(1).InfoS("Store watch failed", "prefix", m.Prefix, "err", err)
	}
	select {
	case <-ctx.Done():
	case <-m.Clock.After(mirrorRetryWait):
	}
}

func (m *Mirror) list(ctx context.Context) error {
	listing, err := m.Store.List(ctx, m.Prefix)
	if err != nil {
		return err
	}
	entries := make(map[string]Entry, len(listing.Entries))
	for _, entry := range listing.Entries {
		if !isTombstone(entry.Value) {
			entries[entry.Key] = entry
		}
	}
	if err := m.replace(entries, listing.Revision); err != nil {
		return err
	}
	m.publish(func(string) bool { return true })
	return nil
}

// replace replaces the entries by a listing, unless the listing is older than the
// mirror.
func (m *Mirror) replace(entries map[string]Entry, revision int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.revision {
		return &StaleError{Revision: revision, Known: m.revision}
	}
	m.entries = entries
	m.revision = revision
	m.lastContact = m.Clock.Now()
	return nil
}

func (m *Mirror) follow(ctx context.Context) error {
	_, after := m.LastContact()
	changes, err := m.Store.Watch(ctx, m.Prefix, after, watchWait)
	if err != nil {
		return err
	}
	changedKeys := make(map[string]bool, len(changes.Items))
	m.mu.Lock()
	for _, change := range changes.Items {
		if change.Entry.Version <= after {
			continue
		}
		m.apply(change)
		changedKeys[change.Entry.Key] = true
	}
	m.revision = max(after, changes.Revision)
	m.lastContact = m.Clock.Now()
	m.mu.Unlock()
	m.publish(func(prefix string) bool { return anyHasPrefix(changedKeys, prefix) })
	return nil
}

func (m *Mirror) apply(change Change) {
	if change.Deleted || isTombstone(change.Entry.Value) {
		delete(m.entries, change.Entry.Key)
		return
	}
	m.entries[change.Entry.Key] = change.Entry
}

func (m *Mirror) publish(affected func(prefix string) bool) {
	for _, s := range m.subscribers {
		if affected(s.prefix) {
			s.notify(m.Entries(s.prefix))
		}
	}
}

func anyHasPrefix(keys map[string]bool, prefix string) bool {
	for key := range keys {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

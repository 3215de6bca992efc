package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// PlatformFaults are the faults that a PlatformStore injects.
type PlatformFaults struct {
	// Refuse answers every call with status 503, without effect.
	Refuse bool
	// Silent leaves every call without an answer or effect, those that are waiting at its
	// start too; their connections return nothing further.
	Silent bool
	// LoseEvery loses the answer of every LoseEvery-th committed transaction, if above
	// zero.
	LoseEvery int
	// PauseLeases keeps the time of the leases from passing. Without it they expire in an outage, too.
	PauseLeases bool
	// RenewLeases gives the leases that it pauses their full duration at the end.
	RenewLeases bool
}

type platformItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// PlatformStore is a stand-in for the store of the users' platform that implements its
// published protocol. The zero value is ready for use as an http.Handler. Its exported fields are set before its
// first call.
type PlatformStore struct {
	// PageItems, if above zero, is how many items an answer to a list has at most.
	PageItems int
	// KeepHistory, if above zero, is how many of the newest changes a watch can still get.
	KeepHistory int

	mu      sync.Mutex
	items   map[string]platformItem
	history []platformItem
	leases  map[int64]storeLease
	// pausedAt is when the time of the leases stopped, zero while it passes.
	pausedAt time.Time
	revision int64
	// compacted is the revision up to which the history was discarded.
	compacted    int64
	nextLease    int64
	transactions int
	faults       PlatformFaults
	// silences is how often the store or its connections have fallen silent.
	silences int
	// connections are the addresses of the clients' connections, and whether they are silent
	// for good.
	connections map[string]bool
	changed     chan struct{}
}

// SetFaults replaces the faults.
func (s *PlatformStore) SetFaults(faults PlatformFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Silent && !s.faults.Silent {
		s.silences++
	}
	s.pauseLeases(faults.PauseLeases || faults.RenewLeases)
	s.faults = faults
}

// pauseLeases stops the time of the leases, or lets it pass, before the faults are replaced; the caller holds
// the mutex.
func (s *PlatformStore) pauseLeases(paused bool) {
	now := time.Now()
	switch {
	case paused && s.pausedAt.IsZero():
		s.initAndExpire()
		s.pausedAt = now
	case !paused && !s.pausedAt.IsZero():
		for id, lease := range s.leases {
			lease.expires = lease.expires.Add(now.Sub(s.pausedAt))
			if s.faults.RenewLeases {
				lease.expires = now.Add(lease.ttl)
			}
			s.leases[id] = lease
		}
		s.pausedAt = time.Time{}
	}
}

// SilenceConnections makes all connections that clients have used silent for good. New ones
// work.
func (s *PlatformStore) SilenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silences++
	for address := range s.connections {
		s.connections[address] = true
	}
}

// silent reports whether the store is silent or has been since it had fallen silent the given
// number of times.
func (s *PlatformStore) silent(silences int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Silent || s.silences != silences
}

// onSilentConnection notes the connection of a request and reports whether it is silent.
func (s *PlatformStore) onSilentConnection(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections == nil {
		s.connections = map[string]bool{}
	}
	silent := s.connections[r.RemoteAddr]
	s.connections[r.RemoteAddr] = silent
	return silent
}

// hang leaves a request without an answer until its client ends the connection.
func hang(r *http.Request) {
	// The server notices the end of a connection only once the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// Put writes a key without a lease, as the platform itself does, and returns its revision.
func (s *PlatformStore) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initAndExpire()
	s.revision++
	s.putItem(platformItem{Key: key, Value: value})
	s.notifyWatchers()
	return s.revision
}

// Remove removes a key, as the platform itself does.
func (s *PlatformStore) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initAndExpire()
	s.revision++
	s.removeItem(key)
	s.notifyWatchers()
}

// initAndExpire creates the maps on the first call and ends expired leases; the caller
// holds the mutex.
func (s *PlatformStore) initAndExpire() {
	if s.items == nil {
		s.items = map[string]platformItem{}
		s.leases = map[int64]storeLease{}
		s.changed = make(chan struct{})
		s.revision = 1
	}
	if !s.pausedAt.IsZero() {
		return
	}
	now := time.Now()
	for id, lease := range s.leases {
		if now.After(lease.expires) {
			s.endLease(id)
		}
	}
}

func (s *PlatformStore) endLease(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.revision++
			s.removeItem(key)
		}
	}
	s.notifyWatchers()
}

func (s *PlatformStore) putItem(item platformItem) {
	item.Revision = s.revision
	item.Created = item.Revision
	if old, found := s.items[item.Key]; found {
		item.Created = old.Created
	}
	s.items[item.Key] = item
	s.history = append(s.history, item)
}

func (s *PlatformStore) removeItem(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.history = append(s.history, platformItem{Key: key, Revision: s.revision, Removed: true})
	}
}

func (s *PlatformStore) notifyWatchers() {
	s.compact()
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *PlatformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.initAndExpire()
	refuse, silences := s.faults.Refuse, s.silences
	s.mu.Unlock()
	if s.onSilentConnection(r) || s.silent(silences) {
		hang(r)
		return
	}
	if refuse {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	path := strings.TrimPrefix(r.URL.Path, "/api/kv-")
	switch {
	case path == "key":
		s.get(w, r)
	case path == "range":
		s.list(w, r)
	case path == "watch":
		s.watch(w, r, silences)
	case path == "txn":
		s.commit(w, r)
	case path == "lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "keep/"):
		s.keepAlive(w, strings.TrimPrefix(path, "keep/"))
	case strings.HasPrefix(path, "lease-end/"):
		s.revoke(w, strings.TrimPrefix(path, "lease-end/"))
	default:
		http.NotFound(w, r)
	}
}

func (s *PlatformStore) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, found := s.items[r.URL.Query().Get("key")]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeMessage(w, item)
}

func (s *PlatformStore) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []platformItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	page := s.firstPage(items)
	writeMessage(w, map[string]any{"items": page, "has-more": len(page) < len(items), "as-of": s.revision})
}

func (s *PlatformStore) watch(w http.ResponseWriter, r *http.Request, silences int) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		events, asOf, changed := s.eventsAfter(after, r.URL.Query().Get("prefix"))
		if s.silent(silences) {
			hang(r)
			return
		}
		if s.discarded(after) {
			http.Error(w, "the history was compacted", http.StatusGone)
			return
		}
		if len(events) > 0 || expired {
			writeMessage(w, map[string]any{"events": events, "as-of": asOf})
			return
		}
		select {
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(leaseSweepPeriod):
		}
	}
}

// eventsAfter returns the changes under a prefix after a revision, the current revision,
// and a channel that is closed at the next change.
func (s *PlatformStore) eventsAfter(after int64, prefix string) ([]platformItem, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initAndExpire()
	events := []platformItem{}
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, s.revision, s.changed
}

type platformTransaction struct {
	Expect []platformItem `json:"expect-rev"`
	Writes []platformItem `json:"writes"`
	Remove []string       `json:"remove"`
}

func (s *PlatformStore) commit(w http.ResponseWriter, r *http.Request) {
	var transaction platformTransaction
	if !readMessage(w, r, &transaction) {
		return
	}
	if slices.ContainsFunc(transaction.Writes, func(item platformItem) bool { return item.Value == nil }) {
		http.Error(w, "a value is null or missing", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict, current := false, []platformItem{}
	for _, e := range transaction.Expect {
		item, found := s.items[e.Key]
		if !found {
			item = platformItem{Key: e.Key}
		}
		current = append(current, item)
		conflict = conflict || item.Revision != e.Revision
	}
	if conflict {
		w.WriteHeader(http.StatusPreconditionFailed)
		// The error is ignored: the client may have disconnected.
		_ = json.NewEncoder(w).Encode(map[string]any{"items": current})
		return
	}
	for _, item := range transaction.Writes {
		if _, live := s.leases[item.Lease]; item.Lease != 0 && !live {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.apply(transaction)
	s.transactions++
	if s.faults.LoseEvery > 0 && s.transactions%s.faults.LoseEvery == 0 {
		dropConnection(w)
		return
	}
	writeMessage(w, map[string]any{"revision": s.revision})
}

func (s *PlatformStore) apply(transaction platformTransaction) {
	s.revision++
	for _, item := range transaction.Writes {
		s.putItem(item)
	}
	for _, key := range transaction.Remove {
		s.removeItem(key)
	}
	s.notifyWatchers()
}

// Package standin implements small stand-ins for the platform: the key-value store, the
// list of VMs, workers and endpoints. Only trials, measurements and tests use them.
package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"zinniashore.example/keeper"
)

const (
	historyLimit     = 4096
	leaseSweepPeriod = 50 * time.Millisecond
)

// StoreFaults are the faults that a Store injects.
type StoreFaults struct {
	// Outage refuses every call before it takes effect.
	Outage bool `json:"outage"`
	// Silent leaves every call unanswered, without effect.
	Silent bool `json:"silent"`
	// DelayMilliseconds delays each answer after the call took effect.
	DelayMilliseconds int64 `json:"delay_milliseconds"`
	// LoseAnswers is the number of coming swaps whose answer is lost after the swap took
	// effect.
	LoseAnswers int `json:"lose_answers"`
	// LoseEvery loses the answer of every LoseEvery-th swap, if above zero.
	LoseEvery int `json:"lose_every"`
}

// StoreCounts are the numbers of calls that a Store received, by operation.
type StoreCounts map[string]int64

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is a stand-in for the platform's key-value service. The zero value is
// ready for use as an http.Handler.
type Store struct {
	mu                sync.Mutex
	entries           map[string]keeper.EntryMessage
	leases            map[int64]storeLease
	history           []keeper.ChangeMessage
	compactedRevision int64
	revision          int64
	nextID            int64
	swapCount         int
	faults            StoreFaults
	counts            StoreCounts
	changed           chan struct{}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Counts returns a copy of the call counts.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := StoreCounts{}
	for operation, count := range s.counts {
		counts[operation] = count
	}
	return counts
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/control/faults":
		var faults StoreFaults
		if readMessage(w, r, &faults) {
			s.SetFaults(faults)
			writeMessage(w, faults)
		}
		return
	case "/control/counts":
		writeMessage(w, s.Counts())
		return
	}
	operation := strings.TrimPrefix(r.URL.Path, "/v1/")
	faults := s.recordCall(operation)
	if faults.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	s.serve(w, r, operation, faults)
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request, operation string, faults StoreFaults) {
	handlers := map[string]func(http.ResponseWriter, *http.Request) any{
		"get":        s.get,
		"list":       s.list,
		"swap":       s.swap,
		"grant":      s.grant,
		"keep_alive": s.keepAlive,
		"revoke":     s.revoke,
		"watch":      s.watch,
	}
	handle, known := handlers[operation]
	if !known {
		http.NotFound(w, r)
		return
	}
	answer := handle(w, r)
	if answer == nil {
		return
	}
	time.Sleep(time.Duration(faults.DelayMilliseconds) * time.Millisecond)
	if operation == "swap" && s.shouldLoseAnswer() {
		dropConnection(w)
		return
	}
	writeMessage(w, answer)
}

// recordCall counts a call, ends expired leases and returns the faults that apply to it.
func (s *Store) recordCall(operation string) StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = StoreCounts{}
		s.entries = map[string]keeper.EntryMessage{}
		s.leases = map[int64]storeLease{}
		s.changed = make(chan struct{})
	}
	s.counts[operation]++
	s.expire()
	return s.faults
}

// shouldLoseAnswer counts a swap and reports whether its answer is to be lost.
func (s *Store) shouldLoseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.swapCount++
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return true
	}
	return s.faults.LoseEvery > 0 && s.swapCount%s.faults.LoseEvery == 0
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) any {
	var request keeper.KeyMessage
	if !readMessage(w, r, &request) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry(request.Key)
}

func (s *Store) entry(key string) keeper.EntryMessage {
	entry, found := s.entries[key]
	if !found {
		return keeper.EntryMessage{Key: key}
	}
	return entry
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) any {
	var request keeper.KeyMessage
	if !readMessage(w, r, &request) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	listing := keeper.ListingMessage{Revision: s.revision}
	for key, entry := range s.entries {
		if strings.HasPrefix(key, request.Key) {
			listing.Entries = append(listing.Entries, entry)
		}
	}
	sort.Slice(listing.Entries, func(i, j int) bool { return listing.Entries[i].Key < listing.Entries[j].Key })
	return listing
}

func (s *Store) swap(w http.ResponseWriter, r *http.Request) any {
	var request keeper.SwapMessage
	if !readMessage(w, r, &request) {
		return nil
	}
	if len(request.Value) > keeper.MaxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.entry(request.Key)
	if current.Version != request.Expected {
		return keeper.SwapAnswer{Conflict: &current}
	}
	if _, found := s.leases[request.Lease]; request.Lease != 0 && !found {
		return keeper.SwapAnswer{Expired: true}
	}
	entry := keeper.EntryMessage{Key: request.Key, Value: request.Value, Lease: request.Lease}
	return keeper.SwapAnswer{Version: s.put(entry, request.Delete)}
}

// put applies one change and returns its revision; the caller holds the mutex.
func (s *Store) put(entry keeper.EntryMessage, deleted bool) int64 {
	s.revision++
	entry.Version = s.revision
	if deleted {
		entry.Value = nil
		delete(s.entries, entry.Key)
	} else {
		s.entries[entry.Key] = entry
	}
	s.history = append(s.history, keeper.ChangeMessage{Entry: entry, Deleted: deleted})
	if len(s.history) > historyLimit {
		s.compactedRevision = s.history[0].Entry.Version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) any {
	var request keeper.GrantMessage
	if !readMessage(w, r, &request) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(request.Milliseconds) * time.Millisecond
	s.leases[s.nextID] = storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	return keeper.LeaseMessage{Lease: s.nextID}
}

func (s *Store) keepAlive(w http.ResponseWriter, r *http.Request) any {
	var request keeper.LeaseMessage
	if !readMessage(w, r, &request) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lease, found := s.leases[request.Lease]
	if !found {
		return keeper.LeaseMessage{Lease: request.Lease, Expired: true}
	}
	lease.expires = time.Now().Add(lease.ttl)
	s.leases[request.Lease] = lease
	return keeper.LeaseMessage{Lease: request.Lease}
}

func (s *Store) revoke(w http.ResponseWriter, r *http.Request) any {
	var request keeper.LeaseMessage
	if !readMessage(w, r, &request) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.leases[request.Lease]
	s.endLease(request.Lease)
	return keeper.LeaseMessage{Lease: request.Lease, Expired: !found}
}

// expire ends the expired leases; the caller holds the mutex.
func (s *Store) expire() {
	now := time.Now()
	for id, lease := range s.leases {
		if now.After(lease.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, entry := range s.entries {
		if entry.Lease == id && id != 0 {
			s.put(keeper.EntryMessage{Key: key}, true)
		}
	}
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) any {
	var request keeper.WatchMessage
	if !readMessage(w, r, &request) {
		return nil
	}
	deadline := time.Now().Add(time.Duration(request.WaitMilliseconds) * time.Millisecond)
	for {
		answer, ready, changed := s.changesSince(request)
		if ready || !time.Now().Before(deadline) {
			return answer
		}
		select {
		case <-r.Context().Done():
			return nil
		case <-changed:
		case <-time.After(min(time.Until(deadline), leaseSweepPeriod)):
		}
	}
}

func (s *Store) changesSince(request keeper.WatchMessage) (keeper.ChangesMessage, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if request.After < s.compactedRevision {
		return keeper.ChangesMessage{Compacted: true, Revision: s.compactedRevision}, true, s.changed
	}
	answer := keeper.ChangesMessage{Revision: s.revision}
	for _, change := range s.history {
		if change.Entry.Version > request.After && strings.HasPrefix(change.Entry.Key, request.Prefix) {
			answer.Changes = append(answer.Changes, change)
		}
	}
	return answer, len(answer.Changes) > 0, s.changed
}

// Listen serves handler on address until ctx ends and returns the address that
// it listens on.
func Listen(ctx context.Context, address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	if tracker, ok := handler.(connectionTracker); ok {
		server.ConnState = tracker.trackConnection
	}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// connectionTracker is a handler that is told about the connections of its server.
type connectionTracker interface {
	trackConnection(connection net.Conn, state http.ConnState)
}

func readMessage(w http.ResponseWriter, r *http.Request, message any) bool {
	if err := json.NewDecoder(r.Body).Decode(message); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeMessage(w http.ResponseWriter, message any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(message)
}

// dropConnection closes the connection without an answer.
func dropConnection(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}

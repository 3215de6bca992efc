package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it. It
// answers at once and loses nothing.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	leases   map[int64]*lease
	nextID   int64
	changed  chan struct{}
	// late, if set, returns for how long a transaction that writes these keys is late. It gets
	// no answer and is executed then, if its condition still holds.
	late func(keys []string) time.Duration
}

func newStore() *store {
	s := &store{items: map[string]item{}, leases: map[int64]*lease{}, revision: 1, changed: make(chan struct{})}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys; the caller holds mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

// remove and write change a key at the current revision; the caller holds mu.
func (s *store) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) write(key string, value []byte, leaseID int64) {
	created := s.revision
	if old, found := s.items[key]; found {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = i
	s.note(i)
}

func (s *store) note(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put and drop are for the operator and the minions, whose keys the system may not write.
func (s *store) put(key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, content, 0)
}

func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; found {
		s.revision++
		s.remove(key)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/api/kv-key":
		s.mu.Lock()
		i, found := s.items[query.Get("key")]
		asOf := s.revision
		s.mu.Unlock()
		if !found {
			answer(w, http.StatusNotFound, map[string]any{"as-of": asOf})
			return
		}
		answer(w, http.StatusOK, map[string]any{
			"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "as-of": asOf,
		})
	case path == "/api/kv-range":
		s.list(w, query.Get("prefix"), query.Get("after"))
	case path == "/api/kv-watch":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait-ms"))
		s.watch(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "/api/kv-txn":
		s.transact(w, r)
	case path == "/api/kv-lease":
		var body struct {
			TTL int64 `json:"ttl-ms"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			answer(w, http.StatusBadRequest, nil)
			return
		}
		ttl := time.Duration(max(body.TTL, 1000)) * time.Millisecond
		s.mu.Lock()
		s.nextID++
		id := s.nextID
		s.leases[id] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": ttl.Milliseconds()})
	case strings.HasPrefix(path, "/api/kv-keep/"), strings.HasPrefix(path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseInt(path[strings.LastIndex(path, "/")+1:], 10, 64)
		s.mu.Lock()
		l, found := s.leases[id]
		switch {
		case !found:
		case strings.HasPrefix(path, "/api/kv-keep/"):
			l.end = time.Now().Add(l.ttl)
		default:
			s.endLease(id)
		}
		s.mu.Unlock()
		if !found {
			answer(w, http.StatusNotFound, nil)
			return
		}
		answer(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
	default:
		answer(w, http.StatusNotFound, nil)
	}
}

const pageSize = 500

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var found []item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageSize
	if more {
		found = found[:pageSize]
	}
	answer(w, http.StatusOK, map[string]any{"items": append([]item{}, found...), "has-more": more, "as-of": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	limit := time.After(wait)
	for {
		s.mu.Lock()
		changed, asOf := s.changed, s.revision
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "as-of": asOf})
			return
		}
		select {
		case <-changed:
		case <-limit:
			answer(w, http.StatusOK, map[string]any{"events": events, "as-of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect-rev"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Expect)+len(body.Writes)+len(body.Remove) > 32 {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	if s.late != nil {
		var keys []string
		for _, write := range body.Writes {
			keys = append(keys, write.Key)
		}
		if delay := s.late(keys); delay > 0 {
			time.Sleep(delay)
			w = silent{}
			defer func() { <-r.Context().Done() }() // the channel returns nothing further
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	met := true
	var current []item
	for _, e := range body.Expect {
		i, found := s.items[e.Key]
		if !found {
			i = item{Key: e.Key}
		}
		current = append(current, i)
		met = met && i.Revision == e.Revision
	}
	if !met {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, write := range body.Writes {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			answer(w, http.StatusForbidden, nil)
			return
		}
		if _, found := s.leases[write.Lease]; write.Lease != 0 && !found {
			answer(w, http.StatusNotFound, nil)
			return
		}
	}
	s.revision++
	for _, key := range body.Remove {
		s.remove(key)
	}
	for _, write := range body.Writes {
		s.write(write.Key, write.Value, write.Lease)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

// silent drops an answer.
type silent struct{}

func (silent) Header() http.Header               { return http.Header{} }
func (silent) Write(content []byte) (int, error) { return len(content), nil }
func (silent) WriteHeader(int)                   {}

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

const (
	// answerTime is how long the store takes for an answer.
	answerTime = 4 * time.Millisecond
	// pageItems is the number of items on a page.
	pageItems = 500
	// sweepPeriod is how often a waiting watch looks for leases that have ended.
	sweepPeriod = 20 * time.Millisecond
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in for the platform's store, by the pages.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	leases   map[int64]lease
	next     int64
	revision int64
	changed  chan struct{}
}

func newStore() *store {
	return &store{items: map[string]item{}, leases: map[int64]lease{}, revision: 1, changed: make(chan struct{})}
}

// put writes a key as the platform, a minion or the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.revision++
	s.write(item{Key: key, Value: value})
	s.notify()
}

// remove removes a key as the platform does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.revision++
	s.drop(key)
	s.notify()
}

// value returns the value of a key, nil if there is none.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.items[key].Value
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(i item) {
	i.Revision, i.Created = s.revision, s.revision
	if old, found := s.items[i.Key]; found {
		i.Created = old.Created
	}
	s.items[i.Key] = i
	s.history = append(s.history, i)
}

func (s *store) drop(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
	}
}

func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.end(id)
		}
	}
}

func (s *store) end(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.drop(key)
		}
	}
	s.notify()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have left
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mu.Lock()
	s.expire()
	s.mu.Unlock()
	call := strings.TrimPrefix(r.URL.Path, "/api/kv-")
	switch {
	case call == "key":
		s.get(w, r)
	case call == "range":
		s.list(w, r)
	case call == "watch":
		s.watch(w, r)
	case call == "txn":
		s.commit(w, r)
	case call == "lease":
		s.grant(w, r)
	case strings.HasPrefix(call, "keep/"):
		s.keep(w, strings.TrimPrefix(call, "keep/"))
	case strings.HasPrefix(call, "lease-end/"):
		s.revoke(w, strings.TrimPrefix(call, "lease-end/"))
	default:
		http.NotFound(w, r)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, found := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	items := []item{}
	s.mu.Lock()
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "as-of": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		events := []item{}
		s.mu.Lock()
		s.expire()
		for n := len(s.history) - 1; n >= 0 && s.history[n].Revision > after; n-- {
			if strings.HasPrefix(s.history[n].Key, q.Get("prefix")) {
				events = append(events, s.history[n])
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !time.Now().Before(deadline) {
			for a, b := 0, len(events)-1; a < b; a, b = a+1, b-1 {
				events[a], events[b] = events[b], events[a]
			}
			reply(w, http.StatusOK, map[string]any{"events": events, "as-of": revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(sweepPeriod):
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []item   `json:"expect-rev"`
		Writes []item   `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expect)+len(t.Writes)+len(t.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, conflict := []item{}, false
	for _, e := range t.Expect {
		i, found := s.items[e.Key]
		if !found {
			i = item{Key: e.Key}
		}
		current = append(current, i)
		conflict = conflict || i.Revision != e.Revision
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, i := range t.Writes {
		if _, alive := s.leases[i.Lease]; i.Lease != 0 && !alive {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, i := range t.Writes {
		s.write(i)
	}
	for _, key := range t.Remove {
		s.drop(key)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL int64 `json:"ttl-ms"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(time.Duration(q.TTL)*time.Millisecond, time.Second)
	s.mu.Lock()
	s.next++
	id := s.next
	s.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	l, alive := s.leases[id]
	if alive {
		l.expires = time.Now().Add(l.ttl)
		s.leases[id] = l
	}
	s.mu.Unlock()
	if !alive {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) revoke(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, alive := s.leases[id]; !alive {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.end(id)
	reply(w, http.StatusOK, map[string]any{})
}

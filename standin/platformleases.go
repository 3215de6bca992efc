package standin

import (
	"net/http"
	"strconv"
	"time"
)

func (s *PlatformStore) grant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"ttl-ms"`
	}
	if !readMessage(w, r, &request) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	ttl := time.Duration(request.TTL) * time.Millisecond
	s.leases[s.nextLease] = storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	writeMessage(w, map[string]any{"lease": s.nextLease, "ttl-ms": request.TTL})
}

func (s *PlatformStore) keepAlive(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	lease, live := s.leases[id]
	if !live {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	lease.expires = time.Now().Add(lease.ttl)
	s.leases[id] = lease
	writeMessage(w, map[string]any{"ttl-ms": lease.ttl.Milliseconds()})
}

func (s *PlatformStore) revoke(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, live := s.leases[id]; !live {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
}

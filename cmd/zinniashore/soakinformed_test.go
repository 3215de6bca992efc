package main

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"zinniashore.example/platform"
)

const (
	// soakInformed is the time after which a process that nothing hinders knows a new
	// registration.
	soakInformed = soakContact + soakHeartbeat
	// soakDelivery is the time within which an order that nothing delays reaches its worker.
	soakDelivery = time.Second
)

// soakHindrance is what a fault does to what a process knows when an order of it arrives.
type soakHindrance struct{ allProcesses, delaysOrders bool }

// soakHindrances are the kinds of faults that keep a process from reading registrations or
// delay its orders.
var soakHindrances = map[string]soakHindrance{
	"store unavailable":          {allProcesses: true},
	"store loses answers":        {allProcesses: true},
	"store silent":               {allProcesses: true},
	"store's connections silent": {allProcesses: true},
	"store away":                 {allProcesses: true},
	"store refuses a process":    {},
	"link to the store":          {},
	"freeze a process":           {delaysOrders: true},
	"freeze a holder":            {delaysOrders: true},
	"link to a worker":           {delaysOrders: true},
	"links to all workers":       {delaysOrders: true},
	"workers frozen":             {allProcesses: true, delaysOrders: true},
	"calls carried out late":     {allProcesses: true, delaysOrders: true},
}

// undisturbed returns the begin of the last span before a time which is as long as given
// and in which no such hindrance concerned a process; the caller holds the mutex.
func (s *soak) undisturbed(process string, until time.Time, length time.Duration, counts func(soakHindrance) bool) time.Time {
	begin := until.Add(-length)
	for moved := true; moved; {
		moved = false
		for _, f := range s.faults {
			hindrance, hinders := soakHindrances[f.kind]
			concerned := hinders && counts(hindrance) && (hindrance.allProcesses || f.process == process)
			if concerned && f.from.Before(begin.Add(length)) && (f.to.IsZero() || f.to.After(begin)) {
				begin, moved = f.from.Add(-length), true
			}
		}
	}
	return begin
}

// soakRead is a revision of the store up to which a process had read the registrations at
// a time.
type soakRead struct {
	at       time.Time
	revision int64
}

// soakReads are the reads of a process.
type soakReads struct {
	mu    sync.Mutex
	reads []soakRead
}

// note notes a request for changes: the process has handled what it got before.
func (r *soakReads) note(request *http.Request) {
	query := request.URL.Query()
	if !strings.HasSuffix(request.URL.Path, "/kv-watch") || query.Get("prefix") != platform.RegistrationPrefix {
		return
	}
	revision, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads = append(r.reads, soakRead{at: time.Now(), revision: revision})
}

// until returns the highest revision that was read before a time.
func (r *soakReads) until(t time.Time) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	revision := int64(0)
	for _, read := range r.reads {
		if read.at.Before(t) {
			revision = max(revision, read.revision)
		}
	}
	return revision
}

// read returns the revision up to which a process had read the registrations at a time.
func (s *soak) read(process string, at time.Time) int64 {
	for _, p := range s.processes {
		if p.name == process {
			return p.reads.until(at)
		}
	}
	return 0
}

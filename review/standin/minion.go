package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a run of a task on a minion.
type run struct {
	task   string
	number int64
	minion string
	began  time.Time
	ends   time.Time // zero: lasts
	stop   time.Time // zero: not being stopped
	ended  time.Time // zero: still running
	how    string
}

type ended struct {
	number int64
	run    *run
}

// minion is a stand-in for a minion, as PROTOCOL.md describes it. A spec "ms=N" makes a task
// end as done after N milliseconds; any other task lasts until it is stopped.
type minion struct {
	id, zone, rack string
	labels         []string
	service        string
	cpu, memory    int64
	maxHold        time.Duration
	stopTime       time.Duration
	beat           time.Duration
	store          *store
	record         *record

	mu       sync.Mutex
	born     time.Time
	address  string
	draining bool
	// silent: no beats reach the store. dead: it runs nothing any more.
	silent, dead bool
	seq          int64
	lastBeat     time.Time
	fence        int64
	deadline     int64
	running      map[string]*run
	highest      map[string]int64
	finished     []ended
	ends         int64
	all          []*run
	changed      chan struct{}
	server       *http.Server
	listener     net.Listener
}

func (m *minion) start() {
	m.born = time.Now()
	m.running, m.highest, m.changed = map[string]*run{}, map[string]int64{}, make(chan struct{})
	m.listen("127.0.0.1:0")
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			m.advance()
		}
	}()
	go func() {
		for {
			m.register()
			time.Sleep(m.beat)
		}
	}()
}

// listen opens the minion's port. A closed port refuses connections.
func (m *minion) listen(address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	m.mu.Lock()
	m.listener = listener
	m.address = listener.Addr().String()
	m.server = &http.Server{Handler: m}
	server := m.server
	m.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// refuse closes the port and all connections.
func (m *minion) refuse() {
	m.mu.Lock()
	server := m.server
	m.mu.Unlock()
	_ = server.Close()
}

// register writes the minion's entry. The platform removes it after three intervals without one.
func (m *minion) register() {
	m.mu.Lock()
	if !m.silent && !m.dead {
		m.seq++
		m.lastBeat = time.Now()
		state := "ready"
		if m.draining {
			state = "draining"
		}
		entry := map[string]any{
			"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": state,
			"cold-remaining-ms": 0, "capacity": map[string]any{"cpu": m.cpu, "mem-mb": m.memory, "gpu": 0},
			"labels": append([]string{m.rack}, m.labels...), "clock-ms": m.clock(), "seq": m.seq, "born": m.born.UnixMilli(),
		}
		if m.draining {
			entry["remaining-ms"] = 8000
		}
		m.store.put("servers/"+m.id, entry)
	}
	m.mu.Unlock()
}

// drain makes the minion report that it drains, at once.
func (m *minion) drain() {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	m.register()
}

// crash ends the minion and all that runs on it, for good. Its port refuses connections.
func (m *minion) crash() {
	m.refuse()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dead = true
	for key, r := range m.running {
		r.ended, r.how = time.Now(), "crash"
		delete(m.running, key)
		m.record.add("run", "%s run %d on %s: ends with the crash of the minion", r.task, r.number, m.id)
	}
}

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() }

// advance ends the runs whose time has come, and removes the entry of a minion that is silent.
func (m *minion) advance() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if !m.lastBeat.IsZero() && now.Sub(m.lastBeat) > 3*m.beat {
		m.lastBeat = time.Time{}
		m.record.add("platform", "entry of %s removed", m.id)
		m.store.drop("servers/" + m.id)
	}
	lapsed := m.clock() > m.deadline
	for key, r := range m.running {
		switch {
		case lapsed:
			m.end(key, r, "lapsed")
		case !r.stop.IsZero() && !now.Before(r.stop):
			m.end(key, r, "stopped")
		case !r.ends.IsZero() && !now.Before(r.ends):
			m.end(key, r, "done")
		}
	}
}

// end ends a run; the caller holds mu.
func (m *minion) end(key string, r *run, how string) {
	delete(m.running, key)
	r.ended, r.how = time.Now(), how
	m.highest[r.task] = max(m.highest[r.task], r.number)
	m.ends++
	m.finished = append(m.finished, ended{number: m.ends, run: r})
	m.record.add("run", "%s run %d on %s: %s", r.task, r.number, m.id, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline-ms"`
	Fence      int64  `json:"fencing-token"`
	LastSeen   int64  `json:"last-seen"`
	WaitMS     int64  `json:"wait-ms"`
}

// ServeHTTP implements http.Handler.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", m.id)
		answer(w, http.StatusOK, nil)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != m.id {
		answer(w, http.StatusMisdirectedRequest, nil)
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	m.mu.Lock()
	if m.dead {
		m.mu.Unlock()
		return
	}
	if o.Fence < m.fence {
		m.mu.Unlock()
		m.reply(w, http.StatusConflict, "fence")
		return
	}
	m.fence = o.Fence
	status, reason := http.StatusOK, ""
	switch r.URL.Path {
	case "/api/run-start":
		status, reason = m.startRun(o)
	case "/api/run-stop":
		key := o.Task + " " + strconv.FormatInt(o.Run, 10)
		if r := m.running[key]; r == nil {
			m.highest[o.Task] = max(m.highest[o.Task], o.Run)
		} else if r.stop.IsZero() {
			r.stop = time.Now().Add(m.stopTime)
		}
	case "/api/hold":
		m.extend(o.DeadlineMS)
		m.acknowledge(o.LastSeen)
		m.mu.Unlock()
		m.hold(w, r, time.Duration(min(o.WaitMS, 2000))*time.Millisecond)
		return
	case "/api/pace":
	default:
		status = http.StatusNotFound
	}
	m.mu.Unlock()
	m.reply(w, status, reason)
}

func (m *minion) reply(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock-ms": m.clock(), "born": m.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	answer(w, status, body)
}

// extend makes the lease longer, never shorter; the caller holds mu.
func (m *minion) extend(deadline int64) {
	m.deadline = max(m.deadline, min(deadline, m.clock()+m.maxHold.Milliseconds()))
}

func (m *minion) acknowledge(lastSeen int64) {
	for len(m.finished) > 0 && m.finished[0].number <= lastSeen {
		e := m.finished[0]
		m.record.add("run", "%s run %d on %s: its end is taken note of", e.run.task, e.run.number, m.id)
		m.finished = m.finished[1:]
	}
}

// startRun starts a run; the caller holds mu.
func (m *minion) startRun(o order) (int, string) {
	key := o.Task + " " + strconv.FormatInt(o.Run, 10)
	if m.running[key] != nil {
		m.extend(o.DeadlineMS)
		return http.StatusOK, ""
	}
	if o.Run <= m.highest[o.Task] {
		m.extend(o.DeadlineMS)
		return http.StatusConflict, "old"
	}
	if o.DeadlineMS <= m.clock() {
		return http.StatusConflict, "late"
	}
	m.extend(o.DeadlineMS)
	r := &run{task: o.Task, number: o.Run, minion: m.id, began: time.Now()}
	if text, found := strings.CutPrefix(o.Spec, "ms="); found {
		length, err := strconv.Atoi(text)
		if err != nil {
			return http.StatusBadRequest, ""
		}
		r.ends = r.began.Add(time.Duration(length) * time.Millisecond)
	}
	m.running[key] = r
	m.all = append(m.all, r)
	m.record.add("run", "%s run %d on %s: starts", o.Task, o.Run, m.id)
	return http.StatusOK, ""
}

// hold answers a poll once an end is listed or the wait is over.
func (m *minion) hold(w http.ResponseWriter, r *http.Request, wait time.Duration) {
	limit := time.After(wait)
	for {
		m.mu.Lock()
		if len(m.finished) > 0 || wait == 0 {
			break
		}
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-limit:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range m.running {
		running = append(running, []any{r.task, r.number, "", 50, 0})
	}
	for _, e := range m.finished[:min(len(m.finished), 500)] {
		finished = append(finished, []any{e.number, e.run.task, e.run.number, e.run.how, ""})
	}
	body := map[string]any{"clock-ms": m.clock(), "born": m.born.UnixMilli(), "running": running, "finished": finished}
	m.mu.Unlock()
	answer(w, http.StatusOK, body)
}

func (m *minion) runs() []run {
	m.mu.Lock()
	defer m.mu.Unlock()
	var copies []run
	for _, r := range m.all {
		copies = append(copies, *r)
	}
	return copies
}

// runsOf returns how many runs of a job are active on the minion.
func (m *minion) runsOf(job string) int {
	count := 0
	for _, r := range m.runs() {
		if strings.HasPrefix(r.task, job+".") && r.ended.IsZero() {
			count++
		}
	}
	return count
}

func (r *run) String() string { return fmt.Sprintf("%s run %d on %s", r.task, r.number, r.minion) }

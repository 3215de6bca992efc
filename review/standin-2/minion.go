package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat   = 1500 * time.Millisecond
	maxHold     = 10 * time.Second
	stopTime    = 300 * time.Millisecond
	startupTime = 400 * time.Millisecond
	listedEnds  = 500
	minionCPU   = 16000
	minionMB    = 64000
	minionTick  = 5 * time.Millisecond
	// silentBeats is how many heartbeats of silence remove an entry.
	silentBeats = 3
)

// work is what the requesters have sent for the tasks of a step.
type work struct {
	cpu, mb int64
	length  time.Duration
	lasting bool
}

// works maps ID.STEP to the work that was sent.
type works struct {
	mu  sync.Mutex
	all map[string]work
}

func (w *works) set(job string, step int, k work) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.all == nil {
		w.all = map[string]work{}
	}
	w.all[fmt.Sprintf("%s.%d", job, step)] = k
}

// of returns the work of a task, and whether it was sent.
func (w *works) of(task string) (work, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return work{}, false
	}
	k, found := w.all[parts[0]+"."+parts[2]]
	return k, found
}

type run struct {
	number  int64
	started time.Time
	ends    time.Time // zero for a task that lasts
	how     string
	work    work
}

type ended struct {
	number int64
	task   string
	run    int64
	how    string
}

// minion is a stand-in for a minion, by the pages. Its runs end by themselves when their work is done.
type minion struct {
	id, zone, rack string
	store          *store
	works          *works
	log            *record
	address        string

	mu       sync.Mutex
	server   *http.Server
	stopBeat chan struct{}
	up       bool
	dark     bool
	born     time.Time
	token    int64
	leaseEnd time.Time
	runs     map[string]*run
	highest  map[string]int64
	ends     []ended
	endCount int64
	seq      int
	// accept, if set, returns false for a start that the minion, which is unhealthy, rejects with 503.
	accept func(task string) bool
}

// boot starts a life of the minion.
func (m *minion) boot() error {
	address := m.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.address = listener.Addr().String()
	m.up, m.born, m.token, m.leaseEnd = true, time.Now(), 0, time.Time{}
	m.runs, m.highest, m.ends, m.endCount = map[string]*run{}, map[string]int64{}, nil, 0
	m.server = &http.Server{Handler: m}
	m.stopBeat = make(chan struct{})
	go func(s *http.Server) { _ = s.Serve(listener) }(m.server)
	m.log.add("minion %s boots at %s", m.id, m.address)
	go m.beat(m.stopBeat)
	go m.tick(m.stopBeat)
	return nil
}

// crash ends the life without a word: all that runs is gone, the address is closed, and the platform removes
// the entry after three heartbeats of silence unless the minion is back.
func (m *minion) crash() {
	m.mu.Lock()
	if !m.up {
		m.mu.Unlock()
		return
	}
	m.up = false
	close(m.stopBeat)
	server := m.server
	for task, r := range m.runs {
		m.log.add("minion %s crash ends %s run %d, age %d ms", m.id, task, r.number, time.Since(r.started).Milliseconds())
	}
	m.runs = map[string]*run{}
	born := m.born
	m.mu.Unlock()
	m.log.add("minion %s crashes", m.id)
	_ = server.Close()
	time.AfterFunc(silentBeats*heartbeat, func() {
		m.mu.Lock()
		gone := !m.up && m.born == born
		m.mu.Unlock()
		if gone {
			m.store.remove("servers/" + m.id)
		}
	})
}

// lose ends the life without a word and for good, as a loss of power does: the minion doesn't answer any more, and
// its channels hang.
func (m *minion) lose() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return
	}
	m.up, m.dark = false, true
	close(m.stopBeat)
	for task, r := range m.runs {
		m.log.add("minion %s loss ends %s run %d, age %d ms", m.id, task, r.number, time.Since(r.started).Milliseconds())
	}
	m.runs = map[string]*run{}
	m.log.add("minion %s is lost", m.id)
	time.AfterFunc(silentBeats*heartbeat, func() { m.store.remove("servers/" + m.id) })
}

func (m *minion) isDark() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dark
}

func (m *minion) beat(stop chan struct{}) {
	for {
		m.mu.Lock()
		m.seq++
		entry := fmt.Sprintf(`{"service":"huvo11a","address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,`+
			`"capacity":{"cpu":%d,"mem-mb":%d,"gpu":0},"labels":["a",%q],"clock-ms":%d,"born":%d,"seq":%d}`,
			m.address, m.zone, minionCPU, minionMB, m.rack, m.clock(), m.born.UnixMilli(), m.seq)
		m.mu.Unlock()
		m.store.put("servers/"+m.id, []byte(entry))
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (m *minion) tick(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(minionTick):
		}
		m.mu.Lock()
		m.endDue()
		m.mu.Unlock()
	}
}

// clock is the minion's steady clock; the caller holds mu.
func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() }

func (m *minion) endDue() {
	now := time.Now()
	for task, r := range m.runs {
		how := ""
		switch {
		case !r.ends.IsZero() && !now.Before(r.ends):
			how = r.how
		case now.After(m.leaseEnd):
			how = "lapsed"
		default:
			continue
		}
		delete(m.runs, task)
		m.highest[task] = max(m.highest[task], r.number)
		m.endCount++
		m.ends = append(m.ends, ended{m.endCount, task, r.number, how})
		m.log.add("minion %s %s run %d ends: %s", m.id, task, r.number, how)
	}
}

type call struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    int64  `json:"fencing-token"`
	LastSeen int64  `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

// ServeHTTP implements http.Handler.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		return
	}
	var c call
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.mu.Lock()
	dark := m.dark
	m.mu.Unlock()
	if dark {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, body := m.handle(r, c)
	if status == 0 && m.isDark() {
		<-r.Context().Done()
	}
	if status == 0 {
		panic(http.ErrAbortHandler) // the minion has crashed meanwhile
	}
	reply(w, status, body)
}

func (m *minion) handle(r *http.Request, c call) (int, map[string]any) {
	name := strings.TrimPrefix(r.URL.Path, "/api/")
	deadline := time.Now().Add(time.Duration(c.Wait) * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	born := m.born
	for {
		if !m.up || m.born != born {
			return 0, nil
		}
		m.endDue()
		if c.Token < m.token {
			return http.StatusConflict, map[string]any{"clock-ms": m.clock(), "reason": "fence"}
		}
		m.token = c.Token
		if c.Deadline > 0 {
			end := m.born.Add(time.Duration(c.Deadline) * time.Millisecond)
			if limit := time.Now().Add(maxHold); end.After(limit) {
				end = limit
			}
			if end.After(m.leaseEnd) {
				m.leaseEnd = end
			}
		}
		switch name {
		case "run-start":
			return m.start(c)
		case "run-stop":
			m.stop(c)
			return http.StatusOK, map[string]any{"clock-ms": m.clock()}
		case "pace":
			return http.StatusOK, map[string]any{"clock-ms": m.clock()}
		case "hold":
			body, some := m.list(c)
			if some || !time.Now().Before(deadline) {
				return http.StatusOK, body
			}
			m.mu.Unlock()
			time.Sleep(minionTick)
			m.mu.Lock()
		default:
			return http.StatusBadRequest, nil
		}
	}
}

func (m *minion) start(c call) (int, map[string]any) {
	answer := func(status int, reason string) (int, map[string]any) {
		body := map[string]any{"clock-ms": m.clock()}
		if reason != "" {
			body["reason"] = reason
		}
		return status, body
	}
	if m.accept != nil && !m.accept(c.Task) {
		return http.StatusServiceUnavailable, nil
	}
	k, sent := m.works.of(c.Task)
	present := m.runs[c.Task]
	switch {
	case present != nil && present.number == c.Run:
		return answer(http.StatusOK, "")
	case present != nil || c.Run <= m.highest[c.Task]:
		return answer(http.StatusConflict, "old")
	case c.Deadline < m.clock():
		return answer(http.StatusConflict, "late")
	case !sent:
		m.log.add("minion %s UNKNOWN work %s", m.id, c.Task)
		return http.StatusBadRequest, nil
	}
	cpu, mb := k.cpu, k.mb
	for _, r := range m.runs {
		cpu, mb = cpu+r.work.cpu, mb+r.work.mb
	}
	if cpu > minionCPU || mb > minionMB {
		return answer(http.StatusConflict, "room")
	}
	r := &run{number: c.Run, started: time.Now(), how: "done", work: k}
	if !k.lasting {
		r.ends = r.started.Add(k.length)
	}
	m.runs[c.Task] = r
	m.log.add("minion %s start %s run %d token %d", m.id, c.Task, c.Run, c.Token)
	return answer(http.StatusOK, "")
}

func (m *minion) stop(c call) {
	m.highest[c.Task] = max(m.highest[c.Task], c.Run)
	if r := m.runs[c.Task]; r != nil && r.number == c.Run && r.how != "stopped" {
		m.log.add("minion %s stop %s run %d", m.id, c.Task, c.Run)
		if end := time.Now().Add(stopTime); r.ends.IsZero() || end.Before(r.ends) {
			r.ends, r.how = end, "stopped"
		}
	}
}

func (m *minion) list(c call) (map[string]any, bool) {
	keep := m.ends[:0]
	for _, e := range m.ends {
		if e.number > c.LastSeen {
			keep = append(keep, e)
		}
	}
	m.ends = keep
	running, finished := []any{}, []any{}
	for task, r := range m.runs {
		percent, usage := int64(100), r.work.cpu
		if r.work.lasting && time.Since(r.started) < startupTime {
			percent = int64(time.Since(r.started) * 100 / startupTime)
		} else if !r.work.lasting && r.work.length > 0 {
			percent = min(99, int64(time.Since(r.started)*100/r.work.length))
		}
		running = append(running, []any{task, r.number, "", percent, usage})
	}
	for _, e := range m.ends[:min(len(m.ends), listedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clock-ms": m.clock(), "born": m.born.UnixMilli(), "running": running, "finished": finished}, len(finished) > 0
}

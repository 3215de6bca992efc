package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// queue is a route, and how its jobs are asked for.
type queue struct {
	name, host, prefix, service string
	priority                    int
}

// route returns the route of the configuration.
func (q queue) route() map[string]any {
	return map[string]any{
		"name": q.name, "host": q.host, "prefix": q.prefix, "type": "non_idempotent", "timeout-ms": 3000, "target-duration-ms": 250,
		"priority": q.priority, "service": q.service, "max-attempts": 3, "stretch": 1.5,
	}
}

// configuration returns a configuration with queues and their services.
func configuration(queues ...queue) map[string]any {
	var routes, services []map[string]any
	named := map[string]bool{}
	for _, q := range queues {
		routes = append(routes, q.route())
		if !named[q.service] {
			named[q.service] = true
			services = append(services, map[string]any{
				"name": q.service, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "admission-check": true, "standby": false,
			})
		}
	}
	return map[string]any{
		"version": 7, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// job is a job of one step, or of two: with beside, one small task that lasts runs beside it.
type job struct {
	id    string
	queue queue
	count int
	size  size
	// length is how long each task works.
	length              time.Duration
	gang, lasts, beside bool
	accepted            time.Time
	state               string
}

// jobBook is what the requesters know of their jobs. It is safe for concurrent use.
type jobBook struct {
	mu   sync.Mutex
	jobs map[string]*job
}

func (b *jobBook) add(j *job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.jobs == nil {
		b.jobs = map[string]*job{}
	}
	b.jobs[j.id] = j
}

// besideSize is the size of the task beside the first step of a job.
var besideSize = size{1000, 1000}

// of returns the job of a task.
func (b *jobBook) of(task string) *job {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.jobs[strings.Split(task, ".")[0]]
}

// isBeside reports whether a task is of the second step of its job.
func isBeside(task string) bool { return strings.Split(task, ".")[2] == "1" }

func (b *jobBook) size(task string) size {
	j := b.of(task)
	switch {
	case j == nil:
		return size{}
	case isBeside(task):
		return besideSize
	}
	return j.size
}

func (b *jobBook) length(task string) time.Duration {
	if j := b.of(task); j != nil {
		return j.length
	}
	return time.Second
}

func (b *jobBook) lasts(task string) bool {
	j := b.of(task)
	return j != nil && j.lasts
}

// gangSize returns the number of members of the gang of a task, 0 for a task without one.
func (b *jobBook) gangSize(task string) int {
	if j := b.of(task); j != nil && j.gang && !isBeside(task) {
		return j.count
	}
	return 0
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// startupTime is the estimate that a task which lasts has, that of its startup.
const startupTime = 400 * time.Millisecond

// body returns the body of the submission.
func (j *job) body() string {
	estimate := j.length
	if j.lasts {
		estimate = startupTime
	}
	step := map[string]any{"count": j.count, "cpu": j.size.cpu, "mem-mb": j.size.mem, "estimate-ms": estimate.Milliseconds()}
	if j.gang {
		step["gang"] = true
	}
	if j.lasts {
		step["long-running"] = true
	}
	steps := []any{step}
	if j.beside {
		steps = append(steps, map[string]any{"count": 1, "cpu": besideSize.cpu, "mem-mb": besideSize.mem, "estimate-ms": startupTime.Milliseconds(), "long-running": true})
	}
	content, err := json.Marshal(map[string]any{"spec": "job " + j.id, "phases": steps})
	if err != nil {
		panic(err)
	}
	return string(content)
}

// requestTimeout is how long requesters wait for a response.
const requestTimeout = 3 * time.Second

// call sends a request of a requester to a machine.
func (p *play) call(e *edge, method string, q queue, rest, body string) (int, string, error) {
	request, err := http.NewRequest(method, "http://"+e.frontend()+q.prefix+rest, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Host = q.host
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	answer, err := (&http.Client{Timeout: requestTimeout}).Do(request)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	return answer.StatusCode, strings.TrimSpace(string(content)), err
}

// submit hands a job in at a machine of a zone, with four more attempts at others.
func (p *play) submit(j *job, zone string) bool {
	p.jobs.add(j)
	for attempt := range 5 {
		e := p.edgeOf(zone, attempt)
		status, content, err := p.call(e, http.MethodPost, j.queue, j.id, j.body())
		p.record.printf("POST %s%s (%d tasks of %d cpu) at %s: %d %s %v", j.queue.prefix, j.id, j.count, j.size.cpu, e.name, status, content, err)
		if err == nil && status/100 == 2 {
			j.accepted = time.Now()
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// edgeOf returns a machine of a zone, another one for each number.
func (p *play) edgeOf(zone string, number int) *edge {
	var inZone []*edge
	for _, e := range p.edges {
		if e.zone == zone {
			inZone = append(inZone, e)
		}
	}
	return inZone[(number+rand.IntN(len(inZone)))%len(inZone)]
}

// fetch asks for the state of a job.
func (p *play) fetch(j *job) {
	e := p.edges[rand.IntN(len(p.edges))]
	status, content, err := p.call(e, http.MethodGet, j.queue, j.id, "")
	var message struct {
		State string `json:"state"`
	}
	if err == nil && status == http.StatusOK && json.Unmarshal([]byte(content), &message) == nil {
		j.state = message.State
	}
	p.record.printf("GET %s%s at %s: %d %s %v", j.queue.prefix, j.id, e.name, status, content, err)
}

// running returns how many runs of the tasks of a job there are.
func (p *play) running(j *job) int {
	count := 0
	for index := range j.count {
		count += p.ledger.Running(fmt.Sprintf("%s.0.0.%d", j.id, index))
	}
	return count
}

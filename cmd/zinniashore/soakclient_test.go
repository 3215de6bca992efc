package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// soakPatience is how long a client waits for an answer.
	soakPatience = 3 * time.Second
	// soakTries is how often a client submits a job.
	soakTries = 8
	// soakDeadlyPrefix begins the id of a job with a task that crashes workers. One in
	// soakDeadlyEvery jobs is such a job, if any are asked for.
	soakDeadlyPrefix = "dd"
	soakDeadlyEvery  = 12
	// soakLongRunningPrefix begins the id of a job of which the tasks run until they are stopped.
	soakLongRunningPrefix = "ff"
	// soakLongRunningEvery is one in how many jobs runs until it is stopped.
	soakLongRunningEvery = 12
	// lossSlack is the time after a request was sent before which the end of its connection
	// isn't the fault of a process that stops: it may not have read the request.
	lossSlack = 200 * time.Millisecond
)

type soakStepMessage struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	MemoryMB    int   `json:"mem-mb"`
	EstimateMS  int   `json:"estimate-ms,omitempty"`
	After       []int `json:"after,omitempty"`
	LongRunning bool  `json:"long-running,omitempty"`
	Gang        bool  `json:"gang,omitempty"`

	Image          string `json:"image,omitempty"`
	TargetMS       int    `json:"target-ms,omitempty"`
	Fills          bool   `json:"fills,omitempty"`
	AntiAffinity   int    `json:"anti-affinity,omitempty"`
	MaxUnavailable int    `json:"max-unavailable,omitempty"`
}

// soakJob is a job and what clients know of it.
type soakJob struct {
	id    string
	steps []soakStepMessage

	mu                                       sync.Mutex
	attempts                                 []string
	rejected                                 int
	accepted, cancelSent, cancelAcknowledged time.Time
}

// refused reports whether every attempt to submit the job was refused; the caller holds
// the mutex.
func (j *soakJob) refused() bool { return len(j.attempts) > 0 && j.rejected == len(j.attempts) }

func (j *soakJob) tasks() []string {
	var tasks []string
	for step, message := range j.steps {
		for i := range message.Count {
			tasks = append(tasks, fmt.Sprintf("%s.0.%d.%d", j.id, step, i))
		}
	}
	return tasks
}

// crashesWorkers reports whether each worker that starts the task crashes.
func crashesWorkers(task string) bool {
	return strings.HasPrefix(task, soakDeadlyPrefix) && strings.HasSuffix(task, ".0.0")
}

// deadly reports whether the job has a task that crashes workers.
func (j *soakJob) deadly() bool { return strings.HasPrefix(j.id, soakDeadlyPrefix) }

func (j *soakJob) longRunning() bool { return j.steps[0].LongRunning }

// newJob returns a job of the kind that the case submits.
func (s *soak) newJob(id uint64, rng *rand.Rand) *soakJob {
	if s.planned {
		return plannedJob(id, rng)
	}
	return randomJob(id, s.deadly, s.longRunningEvery(), rng)
}

// randomJob returns a job. One in longRunningEvery jobs runs until it is stopped.
func randomJob(id uint64, deadly bool, longRunningEvery int, rng *rand.Rand) *soakJob {
	if rng.IntN(longRunningEvery) == 0 {
		steps := []soakStepMessage{{Count: 1 + rng.IntN(2), LongRunning: true}}
		return (&soakJob{id: fmt.Sprintf("%s%014x", soakLongRunningPrefix, id), steps: steps}).sized()
	}
	job := &soakJob{id: fmt.Sprintf("%016x", id)}
	if deadly && rng.IntN(soakDeadlyEvery) == 0 {
		job.id = fmt.Sprintf("%s%014x", soakDeadlyPrefix, id)
	}
	for step := range 1 + rng.IntN(3) {
		message := soakStepMessage{Count: 1 + rng.IntN(4), EstimateMS: 500}
		if step > 0 && rng.IntN(4) > 0 {
			message.After = []int{rng.IntN(step)}
		}
		job.steps = append(job.steps, message)
	}
	return job.sized()
}

// sized gives the tasks of each step a size that follows from the job's id.
func (j *soakJob) sized() *soakJob {
	for i := range j.steps {
		size := stepSize(j.id, i)
		j.steps[i].CPU, j.steps[i].MemoryMB = size.processors, size.megabytes
	}
	return j
}

// stepSize returns the size of the tasks of a step.
func stepSize(job string, step int) soakSize {
	hash := hashOf(fmt.Sprint(job, step))
	return soakSize{processors: 250 << (hash % 4), megabytes: 100 << (hash / 4 % 6)}
}

// soakClient sends calls over connections that it keeps until they end.
type soakClient struct {
	s       *soak
	rng     *rand.Rand
	next    uint64
	current int
	// stays is true for a client that uses a process until that doesn't answer.
	stays   bool
	conns   map[string]net.Conn
	readers map[string]*bufio.Reader
	jobs    []*soakJob
}

func newSoakClient(s *soak, number int) *soakClient {
	rng := rand.New(rand.NewPCG(s.seed, uint64(number)+1))
	return &soakClient{
		s: s, rng: rng, next: s.seed<<24 | uint64(number)<<16, current: rng.IntN(len(s.processes)), stays: number%2 == 0,
		conns: map[string]net.Conn{}, readers: map[string]*bufio.Reader{},
	}
}

// call sends a request about a job.
func (c *soakClient) call(p *soakProcess, method, path, body string) (int, string) {
	return c.request(p, method, platformPrefix+path, body)
}

// request returns the status and body of the answer; status 0 for no answer.
func (c *soakClient) request(p *soakProcess, method, path, body string) (int, string) {
	conn, reader := c.conns[p.name], c.readers[p.name]
	if conn == nil {
		var err error
		if conn, err = net.DialTimeout("tcp", p.clients, soakPatience); err != nil {
			return 0, err.Error()
		}
		reader = bufio.NewReader(conn)
		c.conns[p.name], c.readers[p.name] = conn, reader
	}
	_ = conn.SetDeadline(time.Now().Add(soakPatience + time.Second))
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: %d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		method, path, platformHost, soakPatience.Milliseconds(), len(body), body)
	sent := time.Now()
	if err != nil {
		c.hangUp(p)
		return 0, err.Error()
	}
	response, err := http.ReadResponse(reader, nil)
	if err == nil {
		var content []byte
		content, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			if response.Close {
				c.hangUp(p)
			}
			return response.StatusCode, string(content)
		}
	}
	c.hangUp(p)
	c.s.checkLoss(p, method+" "+path, sent, err)
	return 0, err.Error()
}

func (c *soakClient) hangUp(p *soakProcess) {
	if conn := c.conns[p.name]; conn != nil {
		_ = conn.Close()
		delete(c.conns, p.name)
	}
}

// process returns the process that the client uses; another one after a failure.
func (c *soakClient) process(after int) *soakProcess {
	failed := after == http.StatusBadGateway || after == http.StatusGatewayTimeout || after == http.StatusServiceUnavailable
	if after == 0 || failed && !c.stays {
		c.choose()
	}
	return c.s.processes[c.current]
}

// choose makes the client use any process of which the VM isn't lost.
func (c *soakClient) choose() {
	c.current = c.rng.IntN(len(c.s.processes))
	for c.s.processes[c.current].lost.Load() {
		c.current = c.rng.IntN(len(c.s.processes))
	}
}

// run submits, cancels and asks for jobs until stop is closed.
func (c *soakClient) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+c.rng.IntN(500)) * time.Millisecond * c.s.callSpacing()):
		}
		switch choice := c.rng.IntN(10); {
		case choice < 4 || len(c.jobs) == 0:
			c.next++
			job := c.s.newJob(c.next, c.rng)
			if c.s.long {
				job.enlarge(c.rng)
				c.s.gangs.add(job)
			}
			c.s.addJob(job)
			c.jobs = append(c.jobs, job)
			c.submit(job)
		case choice < 5:
			if job := c.jobs[c.rng.IntN(len(c.jobs))]; c.rng.IntN(3) == 0 {
				c.cancel(job)
			}
		case choice < 6:
			if job := c.jobs[c.rng.IntN(len(c.jobs))]; !job.acceptedAt().IsZero() {
				c.attempt(job)
			}
		default:
			c.ask(c.jobs[c.rng.IntN(len(c.jobs))])
		}
	}
}

func (j *soakJob) acceptedAt() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.accepted
}

// submit sends a job until it is accepted or the client gives up. It gives up only after
// a refusal, so that most jobs without an answer are sent again.
func (c *soakClient) submit(job *soakJob) {
	for try := range soakTries {
		status := c.attempt(job)
		if status/100 == 2 {
			return
		}
		if isRefusal(status) && try > 0 && c.rng.IntN(2) == 0 {
			return
		}
		time.Sleep(time.Duration(50+c.rng.IntN(400)) * time.Millisecond)
	}
}

func (c *soakClient) attempt(job *soakJob) int {
	p := c.process(http.StatusOK)
	attempt, sent := job.begin(p.name), time.Now()
	status, answer := c.call(p, http.MethodPost, job.id, c.encode(job))
	c.process(status)
	c.record(job, attempt, p, status, answer, sent)
	return status
}

// encode returns the body of a request that submits a job.
func (c *soakClient) encode(job *soakJob) string {
	body, err := json.Marshal(map[string]any{"spec": "cane", "phases": job.steps})
	if err != nil {
		c.s.t.Error(err)
	}
	return string(body)
}

// begin notes an attempt to submit the job and returns its number.
func (j *soakJob) begin(process string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts = append(j.attempts, "open at "+process)
	return len(j.attempts) - 1
}

// record notes the answer to an attempt to submit a job.
func (c *soakClient) record(job *soakJob, attempt int, p *soakProcess, status int, answer string, sent time.Time) {
	job.mu.Lock()
	defer job.mu.Unlock()
	job.attempts[attempt] = fmt.Sprintf("%s at %s: %d %s after %s", c.s.since(sent), p.name, status, strings.TrimSpace(answer), time.Since(sent).Round(time.Millisecond))
	switch {
	case status/100 == 2:
		if job.accepted.IsZero() {
			job.accepted = time.Now()
		}
	case isRefusal(status):
		job.rejected++
	case status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout:
		c.s.report(fmt.Sprintf("REFUSED: %s answered %d to the submission of %s: %s", p.name, status, job.id, answer))
	}
}

// cancel cancels a job and returns whether that was acknowledged.
func (c *soakClient) cancel(job *soakJob) bool {
	job.mu.Lock()
	if job.cancelSent.IsZero() {
		job.cancelSent = time.Now()
	}
	job.mu.Unlock()
	status, _ := c.call(c.process(http.StatusOK), http.MethodDelete, job.id, "")
	c.process(status)
	if status/100 != 2 {
		return status == http.StatusGone && job.acceptedAt().IsZero()
	}
	job.mu.Lock()
	defer job.mu.Unlock()
	if job.cancelAcknowledged.IsZero() {
		job.cancelAcknowledged = time.Now()
	}
	return true
}

// ask asks for the state of a job and checks it. It returns an empty state if there was
// no answer, and gone for status 410.
func (c *soakClient) ask(job *soakJob) string {
	p, asked := c.process(http.StatusOK), time.Now()
	status, body := c.call(p, http.MethodGet, job.id, "")
	c.process(status)
	state := ""
	var message struct {
		State string `json:"state"`
	}
	switch {
	case status == http.StatusGone:
		state = "gone"
	case status == http.StatusOK:
		if err := json.Unmarshal([]byte(body), &message); err != nil || message.State == "" {
			c.s.report(fmt.Sprintf("MIXED: %s answered %q for the state of %s", p.name, body, job.id))
		}
		state = message.State
	default:
		return ""
	}
	c.s.checkState(job, p.name, state, asked)
	return state
}

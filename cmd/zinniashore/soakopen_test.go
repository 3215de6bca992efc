package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// openFewest and openSpread bound the number of open connections of a case with planned work.
	openFewest, openSpread = 60, 241
	// openSeedStep is a prime by which the seed is multiplied for that.
	openSeedStep = 101
	// openEvery is the average time between two requests on a connection, openEndEvery that beside the end of
	// a service.
	openEvery    = 600 * time.Millisecond
	openEndEvery = 20 * time.Millisecond
	// openService is how long a process serves on after SIGTERM, openEndSpread how far from that requests are sent.
	openService   = 2500 * time.Millisecond
	openEndSpread = 200 * time.Millisecond
	// openSubmitEvery is one in how many requests submits a job.
	openSubmitEvery = 400
	// openLongestPart is the longest time between the two parts of a request that comes in parts.
	openLongestPart = 400 * time.Millisecond
)

// openHabit is how a client uses its connection.
type openHabit string

const (
	openSteady    openHabit = "steady"
	openAtEnd     openHabit = "at the end of the service"
	openPipelines openHabit = "two requests at once"
	openInParts   openHabit = "request in two parts"
	openLate      openHabit = "new connections to a process that stops"
)

var openHabits = []openHabit{openSteady, openAtEnd, openPipelines, openInParts, openLate}

// openEnds counts how requests ended.
type openEnds struct {
	mu sync.Mutex
	// answered are the requests with a complete answer, late those without one that had used their time.
	answered, late int
	// unanswered and reset are those whose connection ended later than lossSlack, by an end of the stream (the
	// process had read all) and by a reset (it had not).
	unanswered, reset int
	// early are those whose connection ended sooner, heldUp those beside a time in which the machine held up the clients.
	early, heldUp int
}

// openClient keeps a connection open to one process after another.
type openClient struct {
	s      *soak
	rng    *rand.Rand
	habit  openHabit
	client *soakClient

	p      *soakProcess
	conn   net.Conn
	reader *bufio.Reader
}

// openRequest is a request of a state, or of a new job.
type openRequest struct {
	method string
	job    *soakJob
	body   string
	sent   time.Time
}

func newOpenClient(s *soak, number int) *openClient {
	client := newSoakClient(s, soakClients)
	client.rng = rand.New(rand.NewPCG(s.seed, 1<<20+uint64(number)))
	client.next = s.seed<<32 | uint64(number)<<16
	return &openClient{s: s, rng: client.rng, habit: openHabits[number%len(openHabits)], client: client}
}

// run sends requests until stop is closed.
func (c *openClient) run(stop <-chan struct{}) {
	defer c.hangUp()
	for {
		select {
		case <-stop:
			return
		case <-time.After(c.pause()):
		}
		if c.conn == nil && !c.connect() {
			continue
		}
		requests := []*openRequest{c.newRequest()}
		if c.habit == openPipelines {
			requests = append(requests, c.newRequest())
		}
		c.exchange(requests)
	}
}

// pause returns the time until the next request.
func (c *openClient) pause() time.Duration {
	usual := time.Duration(c.rng.Int64N(int64(2 * openEvery)))
	if c.p == nil || c.habit == openSteady {
		return usual
	}
	stopping := c.p.stoppingAt()
	if stopping.IsZero() {
		return min(usual, openEvery/2)
	}
	if c.conn == nil {
		return openEndEvery
	}
	before := time.Until(stopping.Add(openService))
	if before > openEndSpread {
		return min(before-openEndSpread+time.Duration(c.rng.Int64N(int64(2*openEndSpread))), openService)
	}
	return time.Duration(c.rng.Int64N(int64(2 * openEndEvery)))
}

func (p *soakProcess) stoppingAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return time.Time{}
	}
	return p.stopping
}

// connect opens a connection to a process that runs; to one that stops, if that is the habit.
func (c *openClient) connect() bool {
	stays := c.p != nil && c.habit == openLate && !c.p.stoppingAt().IsZero()
	if !stays {
		c.p = c.s.processes[c.rng.IntN(len(c.s.processes))]
	}
	conn, err := net.DialTimeout("tcp", c.p.clients, soakPatience)
	if err != nil {
		c.p = nil
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *openClient) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// newRequest returns a request of the state of a job that is known, or one that submits a job.
func (c *openClient) newRequest() *openRequest {
	if job := c.s.anyJob(c.rng); job != nil && c.rng.IntN(openSubmitEvery) > 0 {
		return &openRequest{method: http.MethodGet, job: job}
	}
	c.client.next++
	job := plannedJob(c.client.next, c.rng)
	c.s.addJob(job)
	return &openRequest{method: http.MethodPost, job: job, body: c.client.encode(job)}
}

// anyJob returns one of the jobs so far, nil if there is none.
func (s *soak) anyJob(rng *rand.Rand) *soakJob {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.order) == 0 {
		return nil
	}
	return s.order[rng.IntN(len(s.order))]
}

// exchange sends requests and reads their answers.
func (c *openClient) exchange(requests []*openRequest) {
	var text strings.Builder
	attempts := make([]int, len(requests))
	for i, r := range requests {
		if r.method == http.MethodPost {
			attempts[i] = r.job.begin(c.p.name)
		}
		fmt.Fprintf(&text, "%s %s%s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: %d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			r.method, platformPrefix, r.job.id, platformHost, soakPatience.Milliseconds(), len(r.body), r.body)
	}
	asked := time.Now()
	err := c.send(text.String())
	sent := time.Now()
	closed := false
	for i, r := range requests {
		r.sent = sent
		status, body := 0, ""
		if err == nil {
			status, body, closed, err = c.read(closed)
		}
		if err != nil {
			c.noteEnd(r, err, closed)
		}
		c.note(r, attempts[i], status, body, asked)
	}
	if err != nil || closed {
		c.hangUp()
	}
	for _, r := range requests {
		if r.method == http.MethodPost && r.job.acceptedAt().IsZero() {
			c.client.submit(r.job)
		}
	}
}

// send sends requests, in two parts if that is the habit.
func (c *openClient) send(text string) error {
	defer func() { _ = c.conn.SetDeadline(time.Now().Add(soakPatience + time.Second)) }()
	if c.habit == openInParts {
		cut := 1 + c.rng.IntN(len(text)-1)
		if _, err := c.conn.Write([]byte(text[:cut])); err != nil {
			return err
		}
		time.Sleep(time.Duration(c.rng.Int64N(int64(openLongestPart))))
		text = text[cut:]
	}
	_, err := c.conn.Write([]byte(text))
	return err
}

// read reads an answer and reports whether the connection ends with it, or has ended with the one before.
func (c *openClient) read(closed bool) (int, string, bool, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", closed, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", closed, err
	}
	return response.StatusCode, string(content), closed || response.Close, nil
}

// note notes the answer to a request, status 0 for none.
func (c *openClient) note(r *openRequest, attempt, status int, body string, asked time.Time) {
	if status != 0 {
		c.s.ends.mu.Lock()
		c.s.ends.answered++
		c.s.ends.mu.Unlock()
	}
	if r.method == http.MethodPost {
		c.client.record(r.job, attempt, c.p, status, body, asked)
		return
	}
	if status == http.StatusGone {
		c.s.checkState(r.job, c.p.name, "gone", asked)
		return
	}
	var message struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal([]byte(body), &message) == nil {
		c.s.checkState(r.job, c.p.name, message.State, asked)
	}
}

// noteEnd notes that the connection of a request ended before its answer was complete.
func (c *openClient) noteEnd(r *openRequest, err error, closed bool) {
	took := time.Since(r.sent)
	reset := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	var failed net.Error
	timedOut := errors.As(err, &failed) && failed.Timeout()
	ends := &c.s.ends
	ends.mu.Lock()
	defer ends.mu.Unlock()
	switch {
	case timedOut || took >= soakPatience:
		ends.late++
	case took <= lossSlack:
		ends.early++
	case reset:
		ends.reset++
	case !c.s.calm(r.sent, time.Now()):
		ends.heldUp++
	default:
		ends.unanswered++
		c.s.report(fmt.Sprintf("LOST: %s ended the connection of %s %s (%s), sent %s, %s later without an answer: %v (an answer before said that it ends: %t; longest pause of the clients %s)",
			c.p.name, r.method, r.job.id, c.habit, c.s.since(r.sent), took.Round(time.Millisecond), err, closed, c.s.pause()))
	}
}

package main

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"zinniashore.example/standin"
)

// heartbeatInterval is how often a minion writes its entry.
const heartbeatInterval = 1500 * time.Millisecond

// size is an amount of processors, in thousandths of a core, and memory.
type size struct{ cpu, mem int64 }

// minion is a minion and its entry in the store.
type minion struct {
	*standin.PlatformWorker
	id, zone, rack, service string
	capacity                size

	p       *play
	mu      sync.Mutex
	address string
	state   string
	gone    bool
	seq     int
	cancel  context.CancelFunc
}

// start lets the minion serve and register.
func (m *minion) start(ctx context.Context, p *play) error {
	ctx, m.cancel = context.WithCancel(ctx)
	m.p, m.state = p, "ready"
	m.PlatformWorker = &standin.PlatformWorker{
		ID: m.id, LengthOf: p.jobs.length, LongRunning: p.jobs.lasts, MaxLease: 10 * time.Second, StopTime: 100 * time.Millisecond,
		Fits: m.fits, Gangs: p.gangs, Ledger: p.ledger,
	}
	address, err := standin.Listen(ctx, "127.0.0.1:0", &lateOrders{minion: m})
	if err != nil {
		return err
	}
	m.address = address
	m.register()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(heartbeatInterval):
				m.register()
			}
		}
	}()
	return nil
}

// fits reports whether a task fits beside those that run.
func (m *minion) fits(task string, running []string) bool {
	free := m.capacity
	for _, other := range append([]string{task}, running...) {
		taken := m.p.jobs.size(other)
		free.cpu, free.mem = free.cpu-taken.cpu, free.mem-taken.mem
	}
	return free.cpu >= 0 && free.mem >= 0
}

// register writes the entry of the minion, unless it has left or is down.
func (m *minion) register() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone || !m.Up() {
		return
	}
	m.seq++
	entry := map[string]any{
		"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": m.state,
		"cold-remaining-ms": 0, "capacity": map[string]any{"cpu": m.capacity.cpu, "mem-mb": m.capacity.mem, "gpu": 0},
		"labels": []string{"a", m.rack}, "born": m.Born(), "seq": m.seq,
	}
	if m.state == "draining" {
		entry["remaining-ms"] = drainTime.Milliseconds()
	}
	content, err := json.Marshal(entry)
	if err == nil {
		m.p.store.Put("servers/"+m.id, content)
	}
}

// drainTime is how long a minion serves on after it has registered that it drains.
const drainTime = 2500 * time.Millisecond

// leave empties the minion and takes it away: it reports that it drains, serves on and exits.
func (m *minion) leave() {
	m.mu.Lock()
	m.state = "draining"
	m.mu.Unlock()
	m.register()
	m.p.record.printf("minion %s drains", m.id)
	time.Sleep(drainTime)
	m.mu.Lock()
	m.gone = true
	m.mu.Unlock()
	m.SetDown(true)
	m.Restart() // ends what runs on it
	m.cancel()
	m.p.store.Remove("servers/" + m.id)
	m.p.record.printf("minion %s has left", m.id)
}

// crash stops the minion and starts it again under its id after a time.
func (m *minion) crash(down time.Duration) {
	m.SetDown(true)
	m.Restart()
	time.Sleep(down)
	m.Restart()
	m.SetDown(false)
	m.register()
}

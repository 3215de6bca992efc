package owner_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"zinniashore.example/keeper"
	"zinniashore.example/owner"
	"zinniashore.example/placer"
	"zinniashore.example/standin"
	"zinniashore.example/submitter"
)

// BenchmarkCell runs one cell with the default settings of Owner at several numbers of
// workers and rates of task starts, and reports costs per second. The processor time is
// that of the whole test process. The processor time of the stand-ins alone is measured
// after the owner is killed, while tasks keep running.
func BenchmarkCell(b *testing.B) {
	loads := map[string]struct {
		workers int
		starts  int
		running int
	}{
		"workers=8/starts=120":  {workers: 8, starts: 120, running: 120},
		"workers=8/starts=0":    {workers: 8, running: 120},
		"workers=16/starts=0":   {workers: 16, running: 240},
		"workers=32/starts=0":   {workers: 32, running: 480},
		"workers=32/starts=120": {workers: 32, starts: 120, running: 480},
	}
	for name, load := range loads {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				measureCell(b, load.workers, load.starts, load.running)
			}
		})
	}
}

const measuredSeconds = 6

func measureCell(b *testing.B, workers, starts, running int) {
	env := newTestEnvSized(b, workers, placer.Size{Processors: 1 << 30, Memory: 1 << 40})
	p := env.process("a", func(o *owner.Owner) {
		o.TaskLease, o.Renewal, o.Period, o.Outage = 0, 0, 0, 0
	})
	env.submit(submitter.Job{Name: "standing", Tasks: running, Work: time.Hour})
	env.eventually("the standing tasks run", func() bool { return len(env.ledger.Runs()) >= running })
	counts, calls, bytes, used := env.store.Counts(), env.calls(), env.bytes(), processorTime(b)
	begun := len(env.ledger.Runs())
	for i := range measuredSeconds {
		if starts > 0 {
			env.submit(submitter.Job{Name: fmt.Sprintf("wave-%d", i), Tasks: starts, Work: 100 * time.Millisecond})
		}
		time.Sleep(time.Second)
	}
	after, total := env.store.Counts(), int64(0)
	for operation, count := range env.calls() {
		total += count - calls[operation]
	}
	report := func(value float64, unit string) { b.ReportMetric(value/measuredSeconds, unit) }
	report(float64(after["swap"]-counts["swap"]), "store_writes/s")
	report(float64(after["get"]-counts["get"]), "store_reads/s")
	report(float64(len(env.ledger.Runs())-begun), "starts/s")
	report(float64(total)/float64(workers), "commands/s/worker")
	report(float64(env.bytes()-bytes)/float64(workers), "bytes/s/worker")
	report((processorTime(b)-used).Seconds()*1000, "cpu_ms/s")
	p.kill()
	<-p.done
	used = processorTime(b)
	time.Sleep(measuredSeconds * time.Second)
	report((processorTime(b)-used).Seconds()*1000, "standin_cpu_ms/s")
	b.ReportMetric(env.recordBytes()/float64(running), "record_bytes/task")
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (e *testEnv) bytes() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := int64(0)
	for _, worker := range e.workers {
		_, bytes := worker.Calls()
		total += bytes
	}
	return total
}

// recordBytes returns the size in bytes of the cell's journal in the store.
func (e *testEnv) recordBytes() float64 {
	listing, err := keeper.NewClient(e.address).List(e.ctx, "cells/vacoas-1/tasks/")
	if err != nil {
		e.t.Fatal(err)
	}
	total := 0
	for _, entry := range listing.Entries {
		total += len(entry.Value)
	}
	return float64(total)
}

func newTestEnvSized(t testing.TB, workers int, capacity placer.Size) *testEnv {
	env := newTestEnv(t, 0)
	for i := range workers {
		worker := &standin.Worker{ID: fmt.Sprintf("w%02d", i), FailureDomain: "vacoas", Rack: "r1", Capacity: capacity, Ledger: env.ledger}
		address, err := worker.Start(env.ctx, "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		env.workers[worker.ID] = worker
		env.rows = append(env.rows, owner.WorkerVM{ID: worker.ID, Address: address, FailureDomain: "vacoas", Rack: "r1", Capacity: capacity})
	}
	return env
}

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

// BenchmarkCell runs one cell at rates of task starts over numbers of workers,
// with the default settings of Owner, and reports what a second costs. The
// processor time is that of the whole test process; that of the stand-ins alone is
// measured after the owner was killed, while tasks go on.
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
	w := newTestEnvSized(b, workers, placer.Size{Processors: 1 << 30, Memory: 1 << 40})
	p := w.process("a", func(o *owner.Owner) {
		o.TaskLease, o.Renewal, o.Period, o.Outage = 0, 0, 0, 0
	})
	w.submit(submitter.Job{Name: "standing", Tasks: running, Work: time.Hour})
	w.eventually("the standing tasks run", func() bool { return len(w.ledger.Runs()) >= running })
	counts, calls, bytes, used := w.store.Counts(), w.calls(), w.bytes(), processorTime(b)
	begun := len(w.ledger.Runs())
	for i := range measuredSeconds {
		if starts > 0 {
			w.submit(submitter.Job{Name: fmt.Sprintf("wave-%d", i), Tasks: starts, Work: 100 * time.Millisecond})
		}
		time.Sleep(time.Second)
	}
	after, total := w.store.Counts(), int64(0)
	for operation, count := range w.calls() {
		total += count - calls[operation]
	}
	report := func(value float64, unit string) { b.ReportMetric(value/measuredSeconds, unit) }
	report(float64(after["swap"]-counts["swap"]), "store_writes/s")
	report(float64(after["get"]-counts["get"]), "store_reads/s")
	report(float64(len(w.ledger.Runs())-begun), "starts/s")
	report(float64(total)/float64(workers), "commands/s/worker")
	report(float64(w.bytes()-bytes)/float64(workers), "bytes/s/worker")
	report((processorTime(b)-used).Seconds()*1000, "cpu_ms/s")
	p.kill()
	<-p.done
	used = processorTime(b)
	time.Sleep(measuredSeconds * time.Second)
	report((processorTime(b)-used).Seconds()*1000, "standin_cpu_ms/s")
	b.ReportMetric(w.recordBytes()/float64(running), "record_bytes/task")
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (w *testEnv) bytes() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := int64(0)
	for _, worker := range w.workers {
		_, bytes := worker.Calls()
		total += bytes
	}
	return total
}

// recordBytes returns the bytes of the journal of the cell in the store.
func (w *testEnv) recordBytes() float64 {
	listing, err := keeper.NewClient(w.address).List(w.ctx, "cells/vacoas-1/tasks/")
	if err != nil {
		w.t.Fatal(err)
	}
	total := 0
	for _, entry := range listing.Entries {
		total += len(entry.Value)
	}
	return float64(total)
}

func newTestEnvSized(t testing.TB, workers int, capacity placer.Size) *testEnv {
	w := newTestEnv(t, 0)
	for i := range workers {
		worker := &standin.Worker{ID: fmt.Sprintf("w%02d", i), FailureDomain: "vacoas", Rack: "r1", Capacity: capacity, Ledger: w.ledger}
		address, err := worker.Start(w.ctx, "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		w.workers[worker.ID] = worker
		w.rows = append(w.rows, owner.WorkerVM{ID: worker.ID, Address: address, FailureDomain: "vacoas", Rack: "r1", Capacity: capacity})
	}
	return w
}

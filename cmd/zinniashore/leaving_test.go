package main

import (
	"context"
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"zinniashore.example/standin"
)

const (
	// leavingLabel is the label of the workers that run the tasks.
	leavingLabel = "oven"
	// leavingLength is how long the tasks run, leavingNotice how long a worker that leaves serves
	// on, and leavingShutdown how long its process lasts after it has closed its address.
	leavingLength   = 5 * time.Second
	leavingNotice   = 2 * time.Second
	leavingShutdown = 1500 * time.Millisecond
	// leavingTasks is a job whose tasks last longer than they are estimated.
	leavingTasks = `{"spec":"cane","phases":[{"count":4,"cpu":500,"mem-mb":100,"estimate-ms":500,"requirements":"` + leavingLabel + `"}]}`
)

// leavingWorker is a worker behind a proxy that can close its address.
type leavingWorker struct {
	id     string
	worker *standin.PlatformWorker
	proxy  *soakProxy
	link   *soakLink
}

func newLeavingWorker(t *testing.T, d *platformDeployment, id string) *leavingWorker {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	w := &leavingWorker{id: id, worker: &standin.PlatformWorker{ID: id, Length: leavingLength, Ledger: d.ledger, LongRunning: isLongRunning}, link: &soakLink{}}
	address, err := standin.Listen(ctx, "127.0.0.1:0", w.worker)
	if err != nil {
		t.Fatal(err)
	}
	w.proxy = newSoakProxy(t, address)
	w.proxy.link = func(net.Conn) (*soakLink, string) { return w.link, id }
	go w.proxy.run(w.proxy.listener)
	w.register(d, "ready")
	return w
}

func (w *leavingWorker) register(d *platformDeployment, state string) {
	entry := string(standin.PlatformRegistration(w.proxy.address(), "graz-a", "shop"))
	entry = strings.Replace(entry, `"labels":["a"`, fmt.Sprintf(`"labels":[%q`, leavingLabel), 1)
	entry = strings.Replace(entry, `"state":"ready"`, fmt.Sprintf(`"state":%q,"remaining-ms":%d`, state, leavingNotice.Milliseconds()), 1)
	d.store.Put("servers/"+w.id, []byte(entry))
}

// leave announces that the worker leaves, and then shuts it down as a process does: it takes its
// registration back, closes its address, and ends some time later with what runs there. closed, if
// set, is called once the address is closed.
func (w *leavingWorker) leave(t *testing.T, d *platformDeployment, closed func(*testing.T, *platformDeployment, *leavingWorker)) {
	t.Helper()
	w.register(d, "draining")
	time.Sleep(leavingNotice)
	d.store.Remove("servers/" + w.id)
	w.proxy.setOpen(false)
	w.link.reset()
	if closed != nil {
		closed(t, d, w)
	}
	time.Sleep(leavingShutdown)
	w.worker.SetDown(true)
	w.worker.Restart()
}

// listen starts another worker at the address that the worker has closed.
func (w *leavingWorker) listen(t *testing.T, other *standin.PlatformWorker) {
	t.Helper()
	if _, err := standin.Listen(t.Context(), w.proxy.address(), other); err != nil {
		t.Error(err)
	}
}

// TestWorkerThatShutsDown guards against two runs of a task: a worker that leaves has taken its
// registration back and closed its address, but hasn't ended yet.
func TestWorkerThatShutsDown(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "zinniashore")
	if output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	tests := map[string]func(*testing.T, *platformDeployment, *leavingWorker){
		"its address refuses connections": nil,
		"another worker takes its address": func(t *testing.T, _ *platformDeployment, w *leavingWorker) {
			w.listen(t, &standin.PlatformWorker{ID: "oven-2", Ledger: &standin.PlatformLedger{}})
		},
		"its next process takes its address": func(t *testing.T, d *platformDeployment, w *leavingWorker) {
			w.listen(t, &standin.PlatformWorker{ID: w.id, Length: leavingLength, Ledger: d.ledger})
			w.register(d, "ready")
		},
	}
	for name, closed := range tests {
		t.Run(name, func(t *testing.T) {
			d := newPlatformDeployment(t, binary)
			leaving := newLeavingWorker(t, d, "oven-0")
			newLeavingWorker(t, d, "oven-1")
			const id = "00000000000000a1"
			time.Sleep(settleTime)
			d.submit("edge-0", id, leavingTasks)
			d.await("started", func() bool { return d.ledger.Running(id+".0.0.0")+d.ledger.Running(id+".0.0.3") == 2 })
			leaving.leave(t, d, closed)
			d.awaitState("edge-0", id, "completed")
			for _, problem := range d.ledger.Problems() {
				t.Error(problem)
			}
		})
	}
}

package standin

import (
	"net/http"
	"sync"
	"time"
)

// VMState is the state of a VM in the list of VMs.
type VMState string

// States of VMs in the list.
const (
	// VMLive is the state of a VM that is running.
	VMLive VMState = "live"
	// VMLeaving is the state of a VM that is about to stop.
	VMLeaving VMState = "leaving"
)

// VM is one row of the platform's list of VMs.
type VM struct {
	ID            string  `json:"id"`
	Role          string  `json:"role"`
	Address       string  `json:"address"`
	FailureDomain string  `json:"failure_domain"`
	Rack          string  `json:"rack"`
	State         VMState `json:"state"`
	Processors    int64   `json:"processors_milli"`
	Memory        int64   `json:"memory_bytes"`
	Accelerators  int64   `json:"accelerators"`
}

// List is a stand-in for the platform's list of VMs, which shows changes with a lag.
type List struct {
	// Lag is the time until a change becomes visible.
	Lag time.Duration

	mu      sync.Mutex
	changes []listChange
}

type listChange struct {
	visibleAt time.Time
	vm        VM
	removed   bool
}

// Put adds or changes a VM.
func (l *List) Put(vm VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, listChange{visibleAt: time.Now().Add(l.Lag), vm: vm})
}

// Remove removes a VM from the list.
func (l *List) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, listChange{visibleAt: time.Now().Add(l.Lag), vm: VM{ID: id}, removed: true})
}

// VMs returns the VMs that the list shows now, in the order in which they were first
// added.
func (l *List) VMs() []VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	var order []string
	visible := map[string]VM{}
	now := time.Now()
	for _, change := range l.changes {
		if change.visibleAt.After(now) {
			continue
		}
		if _, known := visible[change.vm.ID]; !known {
			order = append(order, change.vm.ID)
		}
		if change.removed {
			delete(visible, change.vm.ID)
			continue
		}
		visible[change.vm.ID] = change.vm
	}
	var vms []VM
	listed := map[string]bool{}
	for _, id := range order {
		vm, found := visible[id]
		if found && !listed[id] {
			vms = append(vms, vm)
			listed[id] = true
		}
	}
	return vms
}

// ServeHTTP implements http.Handler: GET /v1/vms lists, POST /control/put and
// POST /control/remove change the list.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var vm VM
	switch r.URL.Path {
	case "/v1/vms":
		writeMessage(w, l.VMs())
	case "/control/put":
		if readMessage(w, r, &vm) {
			l.Put(vm)
		}
	case "/control/remove":
		if readMessage(w, r, &vm) {
			l.Remove(vm.ID)
		}
	default:
		http.NotFound(w, r)
	}
}

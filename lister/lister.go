package lister

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
	"k8s.io/klog/v2"
)

const (
	listService    = "platform_list"
	answerTimeout  = 2 * time.Second
	maxAnswerBytes = 4 << 20
)

// StatusError reports an answer of the platform that is not a list.
type StatusError struct {
	// Status is the HTTP status of the answer.
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("list of VMs: HTTP status %d", e.Status) }

// Lister keeps the last list that the platform gave. It is safe for concurrent
// use once Run is called.
type Lister struct {
	// Address is the IP address and port of the platform's list.
	Address string
	// Clock paces the reads.
	Clock clockwork.Clock
	// Period is the time between two reads.
	Period time.Duration

	mu          sync.Mutex
	vms         []VM
	read        time.Time
	subscribers []func([]VM)
}

// Subscribe calls notify with each list read. It is called before Run.
func (l *Lister) Subscribe(notify func(vms []VM)) {
	l.subscribers = append(l.subscribers, notify)
}

// VMs returns the last list and when it was read, zero if never.
func (l *Lister) VMs() ([]VM, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vms, l.read
}

// Run reads the list each Period until ctx ends. A failed read keeps the list
// that was read before.
func (l *Lister) Run(ctx context.Context) error {
	breaker.NoBreakerFor(listService)
	service := httpc.NewServiceWithClient(listService, &http.Client{Timeout: answerTimeout})
	for ctx.Err() == nil {
		vms, err := l.fetch(ctx, service)
		if err == nil {
			l.keep(vms)
		} else if ctx.Err() == nil {
			klog.V(1).InfoS("Reading the list of VMs failed", "address", l.Address, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-l.Clock.After(l.Period):
		}
	}
	return nil
}

func (l *Lister) keep(vms []VM) {
	l.mu.Lock()
	l.vms = vms
	l.read = l.Clock.Now()
	l.mu.Unlock()
	for _, notify := range l.subscribers {
		notify(vms)
	}
}

func (l *Lister) fetch(ctx context.Context, service httpc.Service) ([]VM, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Address+"/v1/vms", nil)
	if err != nil {
		return nil, err
	}
	response, err := service.DoRequest(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: response.StatusCode}
	}
	return decodeList(io.LimitReader(response.Body, maxAnswerBytes))
}

func decodeList(content io.Reader) ([]VM, error) {
	var messages []vmMessage
	if err := json.NewDecoder(content).Decode(&messages); err != nil {
		return nil, fmt.Errorf("list of VMs: %w", err)
	}
	vms := make([]VM, 0, len(messages))
	for _, m := range messages {
		vms = append(vms, m.vm())
	}
	return vms, nil
}

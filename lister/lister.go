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

// StatusError reports a response of the platform with a status other than 200.
type StatusError struct {
	// Status is the HTTP status of the response.
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("list of VMs: HTTP status %d", e.Status) }

// Lister polls the platform's list of VMs and caches the last one read. It is safe for
// concurrent use once Run is called.
type Lister struct {
	// Address is the IP address and port of the platform's API.
	Address string
	// Clock provides the time and the delays between reads.
	Clock clockwork.Clock
	// Period is the delay between two reads.
	Period time.Duration

	mu          sync.Mutex
	vms         []VM
	readAt      time.Time
	subscribers []func([]VM)
}

// Subscribe registers notify to be called with each list that is read. Subscribe must
// be called before Run.
func (l *Lister) Subscribe(notify func(vms []VM)) {
	l.subscribers = append(l.subscribers, notify)
}

// VMs returns the last list and the time at which it was read, which is zero if no list
// has been read.
func (l *Lister) VMs() ([]VM, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vms, l.readAt
}

// Run reads the list every Period until ctx ends. After a failed read, the previous
// list stays in use. Run always returns nil.
func (l *Lister) Run(ctx context.Context) error {
	breaker.NoBreakerFor(listService)
	service := httpc.NewServiceWithClient(listService, &http.Client{Timeout: answerTimeout})
	for ctx.Err() == nil {
		vms, err := l.fetch(ctx, service)
		if err == nil {
			l.update(vms)
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

func (l *Lister) update(vms []VM) {
	l.mu.Lock()
	l.vms = vms
	l.readAt = l.Clock.Now()
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

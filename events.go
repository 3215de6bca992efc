package zinniashore

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"zinniashore.example/dispatcher"
	"zinniashore.example/logger"
	"zinniashore.example/recorder"
)

const (
	// timeLineCapacity is the number of events that the time line of the process keeps.
	timeLineCapacity = 4096
	// eventsPerSecond and eventBurst limit the rate of log lines for each kind of event.
	eventsPerSecond = 100
	eventBurst      = 300
)

// eventLog records each event in the time line, the log and the metrics.
type eventLog struct {
	clock    clockwork.Clock
	recorder *recorder.Recorder
	scope    tally.Scope

	mu    sync.Mutex
	kinds map[recorder.Kind]*kindLog
	// added is the time at which each unfinished job was added, for the histogram of job
	// times.
	added map[string]time.Time
}

// kindLog limits the log lines of one kind of event and counts its events.
type kindLog struct {
	limiter *logger.Limiter
	counter tally.Counter
}

var _ dispatcher.Recorder = (*eventLog)(nil)

// jobSecondsBuckets are the buckets of the histogram of job times.
var jobSecondsBuckets = tally.MustMakeExponentialDurationBuckets(100*time.Millisecond, 2, 12)

// Record implements dispatcher.Recorder.
func (l *eventLog) Record(event recorder.Event) recorder.Timestamp {
	logged, suppressed := l.admit(event)
	if logged {
		klog.InfoS("Event", "kind", event.Kind, "job", event.Key, "task", event.Task, "attempt", event.Attempt,
			"vm", event.VM, "cell", event.Cell, "epoch", event.Epoch, "detail", event.Detail, "left_out", suppressed)
	}
	return l.recorder.Record(event)
}

// admit counts an event and reports whether to log it, and how many log lines of its
// kind were suppressed since the last one.
func (l *eventLog) admit(event recorder.Event) (bool, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.kinds == nil {
		l.kinds = map[recorder.Kind]*kindLog{}
		l.added = map[string]time.Time{}
	}
	k, known := l.kinds[event.Kind]
	if !known {
		k = &kindLog{
			limiter: logger.NewLimiter(eventsPerSecond, eventBurst),
			counter: l.scope.Tagged(map[string]string{"kind": string(event.Kind)}).Counter("events"),
		}
		l.kinds[event.Kind] = k
	}
	k.counter.Inc(1)
	now := l.clock.Now()
	l.observeJobTime(now, event)
	return k.limiter.Admit(now)
}

// observeJobTime records the time from the arrival of a job in its cell until the job is
// final. The caller must hold mu.
func (l *eventLog) observeJobTime(now time.Time, event recorder.Event) {
	switch event.Kind {
	case dispatcher.KindJobAdded:
		if len(l.added) < maxTrackedJobs {
			l.added[event.Key] = now
		}
	case dispatcher.KindJobFinal:
		if added, found := l.added[event.Key]; found {
			delete(l.added, event.Key)
			l.scope.Tagged(map[string]string{"state": event.Detail}).Histogram("job_seconds", jobSecondsBuckets).RecordDuration(now.Sub(added))
		}
	}
}

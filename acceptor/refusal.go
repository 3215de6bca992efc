package acceptor

import (
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"zinniashore.example/logger"
	"zinniashore.example/platform"
)

const (
	// refusalLinesPerSecond and refusalLineBurst limit the log lines about unknown queues.
	refusalLinesPerSecond = 20
	refusalLineBurst      = 60
	// maxConfigurationAge is the age from which a configuration may lack changes that were
	// confirmed so long ago that they must be in force. It is above the time between two
	// answers to its watch.
	maxConfigurationAge = 1500 * time.Millisecond
)

func (a *Acceptor) refusalLimiter() *logger.Limiter {
	a.refusalsOnce.Do(func() { a.refusals = logger.NewLimiter(refusalLinesPerSecond, refusalLineBurst) })
	return a.refusals
}

// refuseUnknownQueue answers a request for a queue that the configuration doesn't have. If
// that may be out of date, the queue may exist: the client is told to come back.
func (a *Acceptor) refuseUnknownQueue(w http.ResponseWriter, request *http.Request, configuration platform.Configuration) {
	status, age := http.StatusNotFound, a.Configurations.Age()
	if age > maxConfigurationAge {
		status = http.StatusServiceUnavailable
	}
	if logged, suppressed := a.refusalLimiter().Admit(a.Clock.Now()); logged {
		klog.InfoS("No such queue", "host", request.Host, "path", request.URL.Path,
			"status", status, "version", configuration.Version, "age", age, "left_out", suppressed)
	}
	if status == http.StatusServiceUnavailable {
		refuse(w, status)
		return
	}
	http.Error(w, "no such queue", status)
}

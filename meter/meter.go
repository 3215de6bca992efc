// Package meter exposes the metrics of a process to Prometheus.
package meter

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const reportPeriod = time.Second

// Meter holds the root scope of the metrics of a process.
type Meter struct {
	// Scope is the root scope.
	Scope tally.Scope
	// Handler serves the metrics to scrapers.
	Handler http.Handler

	closer io.Closer
}

// New returns a Meter whose metrics are tagged with the process and its failure domain.
func New(process, failureDomain string) *Meter {
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: prom.NewRegistry()})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "zinniashore",
		Separator:      prometheus.DefaultSeparator,
		Tags:           map[string]string{"process": process, "failure_domain": failureDomain},
		CachedReporter: reporter,
	}, reportPeriod)
	return &Meter{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports the remaining metrics and stops reporting.
func (m *Meter) Close() error { return m.closer.Close() }

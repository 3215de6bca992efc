// Package meter makes the metrics of a process scrapeable.
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

// Meter is the root of the metrics of a process.
type Meter struct {
	// Scope is the root scope.
	Scope tally.Scope
	// Handler answers scrapes.
	Handler http.Handler

	closer io.Closer
}

// New returns a Meter whose metrics carry the process and its failure domain.
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

// Close reports what is left and stops the reports.
func (m *Meter) Close() error { return m.closer.Close() }

package zinniashore

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"zinniashore.example/configurer"
	"zinniashore.example/keeper"
	"zinniashore.example/recorder"
	"zinniashore.example/standin"
)

// TestServicesKnown holds that the owner is told no services, rather than
// nothing, once a configuration without any is in force, and nothing before.
func TestServicesKnown(t *testing.T) {
	address, err := standin.Listen(t.Context(), "127.0.0.1:0", &standin.Store{})
	if err != nil {
		t.Fatal(err)
	}
	clock, client := clockwork.NewRealClock(), keeper.NewClient(address)
	c := &configurer.Configurer{
		Clock: clock, Keeper: &keeper.Keeper{Store: client, Clock: clock, Writer: "p"},
		Recorder: &recorder.Recorder{Clock: clock}, Metrics: tally.NoopScope,
		Process: "p", VM: "vm", FailureDomain: "graz-a", FailureDomains: []string{"graz-a"},
	}
	w := workloads{configurer: c}
	if services := w.Services(); services != nil {
		t.Errorf("services %v before a configuration is known, want nil", services)
	}
	ctx := t.Context()
	go func() { _ = c.Run(ctx) }()
	for range 1000 {
		if c.Ready() {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if services := w.Services(); services == nil || len(services) > 0 {
		t.Errorf("services %v of an empty configuration in force, want none but not nil", services)
	}
}

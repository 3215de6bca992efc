package configurer

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"zinniashore.example/keeper"
	"zinniashore.example/recorder"
	"zinniashore.example/standin"
)

// TestRegisterAfterLeave checks that a registration that runs after Leave stores no member
// record: every later acceptance would wait for that record.
func TestRegisterAfterLeave(t *testing.T) {
	address, err := standin.Listen(t.Context(), "127.0.0.1:0", &standin.Store{})
	if err != nil {
		t.Fatal(err)
	}
	clock := clockwork.NewRealClock()
	c := &Configurer{
		Clock: clock, Keeper: &keeper.Keeper{Store: keeper.NewClient(address), Clock: clock, Writer: "p"},
		Recorder: &recorder.Recorder{Clock: clock}, Metrics: tally.NoopScope,
		Process: "p", VM: "vm", FailureDomain: "graz-a", FailureDomains: []string{"graz-a"},
	}
	if err := c.Leave(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := c.register(t.Context()); err == nil {
		t.Error("register after Leave succeeds")
	}
	members, err := c.Members(t.Context())
	if err != nil || len(members) > 0 {
		t.Errorf("members %v, %v after Leave, want none", members, err)
	}
}

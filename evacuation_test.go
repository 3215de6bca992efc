package zinniashore

import (
	"testing"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/meter"
	"zinniashore.example/platform"
)

// TestEvacuationsBeforeServices guards against tasks that start in an evacuated failure domain after a
// restart: the cell would use its workers as soon as their services are known.
func TestEvacuationsBeforeServices(t *testing.T) {
	s := &Scheduler{
		Clock:    clockwork.NewRealClock(),
		Settings: platform.Settings{Process: "a-1", FailureDomain: "graz-a", FailureDomains: []string{"graz-a"}},
	}
	s.meter = meter.New("a-1", "graz-a")
	s.build()
	known := false
	s.configurations.changed = func(platform.Configuration) {
		known = s.heldCells.Evacuated("graz-a")
	}
	s.configurationWatch().Handler.Replace([]platform.Item{
		{Key: platform.ConfigurationKey, Value: []byte(`{"version":1,"services":[{"name":"shop"}]}`)},
		{Key: "op/evacuate/graz-a", Value: []byte(`{}`)},
	})
	if !known {
		t.Error("the services are known before the evacuation")
	}
}

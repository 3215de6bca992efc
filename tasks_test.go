package zinniashore

import (
	"testing"

	"zinniashore.example/standin"
)

// TestServicesKnown checks that Services returns nil before a configuration is known,
// and an empty, non-nil slice once a configuration without services is in force.
func TestServicesKnown(t *testing.T) {
	address, err := standin.Listen(t.Context(), "127.0.0.1:0", &standin.Store{})
	if err != nil {
		t.Fatal(err)
	}
	c := testConfigurer("vm", address, nil)
	w := workloads{configurer: c}
	if services := w.Services(); services != nil {
		t.Errorf("services %v before a configuration is known, want nil", services)
	}
	ctx := t.Context()
	go func() { _ = c.Run(ctx) }()
	if !becomesReady(c) {
		t.Fatal("the process is not ready")
	}
	if services := w.Services(); services == nil || len(services) > 0 {
		t.Errorf("services %v of an empty configuration in force, want none but not nil", services)
	}
}

package zinniashore

import (
	"testing"

	"zinniashore.example/historian"
	"zinniashore.example/prober"
)

// TestOutagesAreNoticed guards against two holders that act: one acts on in an outage that the next one doesn't notice.
func TestOutagesAreNoticed(t *testing.T) {
	if historian.MaxGap >= prober.MinOutage {
		t.Errorf("an outage of %v lets a holder act on, and only one of over %v is noticed", prober.MinOutage, historian.MaxGap)
	}
	if configurationWait >= historian.MaxGap {
		t.Errorf("a watch that waits %v for a change looks like an outage of over %v", configurationWait, historian.MaxGap)
	}
}

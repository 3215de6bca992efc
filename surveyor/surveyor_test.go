package surveyor_test

import (
	"testing"
	"time"

	"zinniashore.example/surveyor"
)

// TestConfiguration checks that every change is counted as either accepted or pending.
func TestConfiguration(t *testing.T) {
	cases := map[string]time.Duration{"watch": 0, "polling": 50 * time.Millisecond}
	for name, polling := range cases {
		t.Run(name, func(t *testing.T) {
			options := surveyor.DefaultOptions
			options.Changes, options.Operators, options.Polling = 12, 3, polling
			r, err := surveyor.Configuration(t.Context(), options)
			if err != nil {
				t.Fatal(err)
			}
			if r.Accepted+r.Pending != options.Changes || r.AllCalls == 0 || r.AcceptedP50 == 0 {
				t.Errorf("Configuration: %+v does not account for %d changes", r, options.Changes)
			}
		})
	}
}

// BenchmarkConfiguration is the measurement in docs/MEASUREMENTS.md. The baseline polls
// once a second; planned is the size that the system is designed for.
func BenchmarkConfiguration(b *testing.B) {
	polling, planned := surveyor.DefaultOptions, surveyor.DefaultOptions
	polling.Polling = time.Second
	planned.FailureDomains, planned.VMs, planned.Organisations = 5, 5, 36
	cases := map[string]surveyor.Options{"watch": surveyor.DefaultOptions, "polling": polling, "planned": planned}
	for name, options := range cases {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				r, err := surveyor.Configuration(b.Context(), options)
				if err != nil {
					b.Fatal(err)
				}
				b.Logf("%+v", r)
			}
		})
	}
}

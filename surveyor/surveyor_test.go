package surveyor_test

import (
	"testing"
	"time"

	"zinniashore.example/surveyor"
)

// TestConfiguration holds that a survey accounts for every change.
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

// BenchmarkConfiguration is the measurement of docs/MEASUREMENTS.md, each
// against polling once a second.
func BenchmarkConfiguration(b *testing.B) {
	for name, polling := range map[string]time.Duration{"watch": 0, "polling": time.Second} {
		b.Run(name, func(b *testing.B) {
			options := surveyor.DefaultOptions
			options.Polling = polling
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

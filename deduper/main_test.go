package deduper

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of rapid, so that the result in CI is reproducible, and
// fails if the tests leak goroutines.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent())
}

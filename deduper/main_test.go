package deduper

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed, so that the verdict of CI does not depend on luck.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent())
}

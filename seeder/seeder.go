// Package seeder fixes the seed of property tests, so that every run of CI draws the same cases.
package seeder

import (
	"flag"
	"os"
	"testing"
)

// propertySeed is the seed of the property tests unless -rapid.seed is set.
const propertySeed = "20261204"

// Run runs the tests of a package that uses rapid and ends the process. It is called by TestMain.
func Run(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set(propertySeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

package rater_test

import (
	"flag"
	"os"
	"testing"
)

// propertySeed is the seed of the property tests unless -rapid.seed is set.
const propertySeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set(propertySeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

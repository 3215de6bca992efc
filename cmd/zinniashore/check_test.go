package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"

	"zinniashore.example/operator"
)

// TestCheckConfiguration checks the outputs of check for configurations of the platform,
// and guards against an exit status that lets a faulty configuration be sent.
func TestCheckConfiguration(t *testing.T) {
	const whole, settings = "../../checker/testdata/whole.json", "../../checker/testdata/settings.json"
	written := func(content string) string {
		name := filepath.Join(t.TempDir(), "file.json")
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return name
	}
	missing := filepath.Join(t.TempDir(), "missing.json")
	older := written(`{"version": 6, "routes": [], "services": [{"name": "shop"}], "limits": {"max-body-bytes": 262144}}`)
	tests := map[string]struct {
		command checkCommand
		want    operator.ExitStatus
		golden  bool
		failure bool
		usage   bool
	}{
		"check":                    {command: checkCommand{Configuration: whole, PlatformSettings: settings}, golden: true},
		"check_errors":             {command: checkCommand{Configuration: whole, InForce: whole}, want: operator.ExitFailed, golden: true},
		"check_errors_json":        {command: checkCommand{Configuration: whole, InForce: whole, JSON: true}, want: operator.ExitFailed, golden: true},
		"check_json":               {command: checkCommand{Configuration: whole, JSON: true}, golden: true},
		"differences are no fault": {command: checkCommand{Configuration: whole, InForce: older}},
		"syntax":                   {command: checkCommand{Configuration: written("{")}, want: operator.ExitFailed},
		"missing":                  {command: checkCommand{Configuration: missing}, want: operator.ExitUsage, failure: true},
		"missing in force":         {command: checkCommand{Configuration: whole, InForce: missing}, want: operator.ExitUsage, failure: true},
		"syntax in force":          {command: checkCommand{Configuration: whole, InForce: written("{")}, want: operator.ExitUsage, failure: true},
		"missing settings":         {command: checkCommand{Configuration: whole, PlatformSettings: missing}, want: operator.ExitUsage, failure: true},
		"syntax of settings":       {command: checkCommand{Configuration: whole, PlatformSettings: written("[]")}, want: operator.ExitUsage, failure: true},
		"neither":                  {command: checkCommand{}, want: operator.ExitUsage, failure: true, usage: true},
		"both":                     {command: checkCommand{Settings: "s", Configuration: whole}, want: operator.ExitUsage, failure: true, usage: true},
		"templates":                {command: checkCommand{Configuration: whole, Files: []string{"t"}}, want: operator.ExitUsage, failure: true, usage: true},
		"in force of settings":     {command: checkCommand{Settings: "s", InForce: whole}, want: operator.ExitUsage, failure: true, usage: true},
		"settings":                 {command: checkCommand{Settings: "../../examples/graz-a-1.jsonc"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			status, err := test.command.Run(t.Context(), &out)
			if status != test.want || (err != nil) != test.failure {
				t.Fatalf("Run: status %d, %v, want status %d", status, err, test.want)
			}
			var usage *operator.UsageError
			if errors.As(err, &usage) != test.usage {
				t.Errorf("Run: %v, want a *UsageError: %t", err, test.usage)
			}
			if test.golden {
				goldie.New(t).Assert(t, name, out.Bytes())
			}
		})
	}
}

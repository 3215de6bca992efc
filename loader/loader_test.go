package loader_test

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"zinniashore.example/loader"
)

const whole = `{
	// An entry VM of graz-a.
	"process": "graz-a-1",
	"failure_domain": "graz-a",
	"failure_domains": ["graz-a", "graz-b"],
	"addresses": {
		"callers": "127.0.0.1:7000",
		"administration": "127.0.0.1:7001",
		"peers": "127.0.0.1:7002",
	},
	"store": {"address": "127.0.0.1:7400"},
	"platform": {"address": "127.0.0.1:7401"},
	"seats": {"count": 3},
	"tokens": [{"role": "operator", "secret": "0123456789abcdef"}],
}`

func TestParse(t *testing.T) {
	tests := map[string]struct{ old, new string }{
		"whole":               {old: "", new: ""},
		"unknown field":       {old: `"seats":`, new: `"chairs": 1, "seats":`},
		"missing address":     {old: `"callers": "127.0.0.1:7000",`, new: ``},
		"name for address":    {old: `"127.0.0.1:7400"`, new: `"store.example:7400"`},
		"wrong unit":          {old: `"127.0.0.1:7400"}`, new: `"127.0.0.1:7400", "lease": "10 parsecs"}`},
		"lease below renewal": {old: `"127.0.0.1:7400"}`, new: `"127.0.0.1:7400", "lease": "2s", "renewal": "3s"}`},
		"foreign domain":      {old: `"failure_domain": "graz-a"`, new: `"failure_domain": "leoben-c"`},
		"domain twice":        {old: `["graz-a", "graz-b"]`, new: `["graz-a", "graz-a"]`},
		"cell twice": {
			old: `"seats":`,
			new: `"cells": [{"id": "a", "failure_domain": "graz-a"}, {"id": "a", "failure_domain": "graz-c"}], "seats":`,
		},
		"header time above request time": {old: `"seats":`, new: `"limits": {"header_time": "20s"}, "seats":`},
		"bodies above their memory":      {old: `"seats":`, new: `"requests": {"body": "8MiB"}, "limits": {"requests": "16MiB"}, "seats":`},
		"no connections":                 {old: `"seats":`, new: `"limits": {"connections": 0}, "seats":`},
		"short secret":                   {old: `0123456789abcdef`, new: `hush-hush`},
		"not JSON":                       {old: `"seats": {"count": 3}`, new: `"seats": {"count": }`},
	}
	golden := goldie.New(t, goldie.WithNameSuffix(".txt"))
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			content := strings.Replace(whole, test.old, test.new, 1)
			_, err := loader.Parse("settings.jsonc", []byte(content))
			outcome := "accepted\n"
			if err != nil {
				outcome = err.Error() + "\n"
			}
			golden.Assert(t, strings.ReplaceAll(name, " ", "_"), []byte(outcome))
		})
	}
}

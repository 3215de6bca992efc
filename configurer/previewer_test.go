package configurer_test

import (
	"slices"
	"testing"

	"zinniashore.example/configurer"
)

func TestDifference(t *testing.T) {
	service := configurer.Service{Organisation: "moka", Name: "finishing", Template: "shop", Instances: 4, Slots: 8, Connections: 64}
	with := func(change func(s *configurer.Service)) []configurer.Service {
		s := service
		change(&s)
		return []configurer.Service{s}
	}
	batch := configurer.Batch{Organisation: "moka", Name: "night", Template: "sorting"}
	quota := configurer.Quota{Organisation: "moka"}
	base := configurer.Configuration{Services: []configurer.Service{service}, Batches: []configurer.Batch{batch}, Quotas: []configurer.Quota{quota}}
	cases := map[string]struct {
		change func(c *configurer.Configuration)
		want   []string
	}{
		"nothing":   {change: func(*configurer.Configuration) {}},
		"more":      {change: func(c *configurer.Configuration) { c.Services = with(func(s *configurer.Service) { s.Instances = 6 }) }, want: []string{"start finishing 2"}},
		"fewer":     {change: func(c *configurer.Configuration) { c.Services = with(func(s *configurer.Service) { s.Instances = 1 }) }, want: []string{"stop finishing 3"}},
		"none left": {change: func(c *configurer.Configuration) { c.Services = nil }, want: []string{"stop finishing 4"}},
		"resized and more": {change: func(c *configurer.Configuration) {
			c.Services = with(func(s *configurer.Service) { s.Size.Memory, s.Instances = 1, 5 })
		}, want: []string{"move finishing 4", "start finishing 1"}},
		"moved": {change: func(c *configurer.Configuration) {
			c.Services = with(func(s *configurer.Service) { s.FailureDomains = []string{"phoenix"} })
		}, want: []string{"move finishing 4"}},
		"priority changed": {change: func(c *configurer.Configuration) { c.Services = with(func(s *configurer.Service) { s.Priority = 9 }) }, want: []string{"update finishing 4"}},
		"batch gone":       {change: func(c *configurer.Configuration) { c.Batches = nil }, want: []string{"remove night 0"}},
		"batch changed": {change: func(c *configurer.Configuration) {
			c.Batches = []configurer.Batch{{Organisation: "moka", Name: "night", Template: "other"}}
		}, want: []string{"update night 0"}},
		"quota gone": {change: func(c *configurer.Configuration) { c.Quotas = nil }, want: []string{"update  0"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			to := base
			c.change(&to)
			var got []string
			for _, step := range configurer.Difference(base, to) {
				got = append(got, string(step.Kind)+" "+step.Workload+" "+string(rune('0'+step.Instances)))
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("Difference: %q, want %q", got, c.want)
			}
		})
	}
}

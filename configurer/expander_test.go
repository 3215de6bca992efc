package configurer_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"zinniashore.example/configurer"
)

var domains = []string{"curepipe", "vacoas", "phoenix"}

// file reads a file of testdata and replaces pairs of old and new texts in it.
func file(t testing.TB, name string, replacements ...string) configurer.File {
	t.Helper()
	content, err := os.ReadFile("testdata/" + name + ".json")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer(replacements...).Replace(string(content))
	return configurer.File{Name: name + ".json", Content: []byte(text)}
}

func TestExpandGolden(t *testing.T) {
	templates := []configurer.File{file(t, "shop"), file(t, "sorting")}
	c, faults := configurer.Expand(templates, []configurer.File{file(t, "moka")}, domains)
	if len(faults) > 0 {
		t.Fatalf("Expand: faults %+v", faults)
	}
	text, err := json.MarshalIndent(c, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "expand", text)
}

// expandFaults are single edits of the files of testdata, each with the fault that it
// causes.
var expandFaults = map[string]struct {
	name         string
	replacements []string
	want         configurer.Fault
}{
	"value out of range": {
		name: "moka", replacements: []string{`"instances": 65`, `"instances": 650`},
		want: configurer.Fault{Organisation: "moka", Workload: "finishing", Parameter: "instances", Value: "650", Problem: "is out of range", Allowed: "a whole number from 1 to 200", Line: 6, Column: 69},
	},
	"wrong unit": {
		name: "moka", replacements: []string{`"45m"`, `"45 minutes"`},
		want: configurer.Fault{Organisation: "moka", Workload: "night", Parameter: "run_time", Value: `"45 minutes"`, Problem: "is not a duration with a unit", Allowed: `a string from "1m0s" to "8h0m0s"`, Line: 10, Column: 16},
	},
	"unknown parameter": {
		name: "moka", replacements: []string{`"run_time"`, `"runtime"`},
		want: configurer.Fault{Organisation: "moka", Workload: "night", Parameter: "runtime", Problem: "is unknown", Allowed: "run_time, size, urgency, window", Line: 10, Column: 4},
	},
	"unknown failure domain": {
		name: "moka", replacements: []string{`"phoenix"`, `"graz-a"`},
		want: configurer.Fault{Organisation: "moka", Workload: "finishing", Parameter: "failure_domains[1]", Value: `"graz-a"`, Problem: "is not one of the choices", Allowed: "curepipe, vacoas, phoenix", Line: 6, Column: 105},
	},
	"unknown zone": {
		name: "moka", replacements: []string{"Indian/Mauritius", "Moka"},
		want: configurer.Fault{Organisation: "moka", Workload: "night", Parameter: "window.zone", Value: `"Moka"`, Problem: "is malformed", Allowed: `a time zone such as "Europe/Vienna"`, Line: 9, Column: 55},
	},
	"missing value": {
		name: "moka", replacements: []string{`"size": {"processors": 2, "memory": "4GiB"},`, ""},
		want: configurer.Fault{Organisation: "moka", Workload: "night", Parameter: "size", Problem: "is missing", Line: 7, Column: 54},
	},
	"impossible pair": {
		name: "moka", replacements: []string{`"05:30"`, `"19:30"`},
		want: configurer.Fault{Organisation: "moka", Workload: "night", Parameter: "values", Value: "{\n\t\t\t\"size\": {\"processors\": 2, \"memory\": \"4GiB\"},\n\t\t\t\"window\": {\"from\": \"19:00\",...", Problem: "give a run time of 45m0s, longer than the window", Allowed: "at most 30m0s", Line: 7, Column: 54},
	},
	"name used twice": {
		name: "moka", replacements: []string{`"night"`, `"finishing"`},
		want: configurer.Fault{Organisation: "moka", Workload: "finishing", Parameter: "name", Value: `"finishing"`, Problem: "is used twice", Allowed: "each name once", Line: 7, Column: 12},
	},
	"unknown template": {
		name: "moka", replacements: []string{`"sorting"`, `"sort"`},
		want: configurer.Fault{Organisation: "moka", Workload: "night", Parameter: "template", Value: `"sort"`, Problem: "is not a template", Allowed: "shop, sorting", Line: 7, Column: 33},
	},
	"default out of bounds": {
		name: "shop", replacements: []string{`"default": 2`, `"default": 0`},
		want: configurer.Fault{Workload: "shop", Parameter: "parameters[0].default", Value: "0", Problem: "is out of range", Allowed: "a whole number from 1 to 200", Line: 6, Column: 77},
	},
	"parameter of another type": {
		name: "shop", replacements: []string{`"size": "$size"`, `"size": "$priority"`},
		want: configurer.Fault{Workload: "shop", Parameter: "fields.size", Value: `"$priority"`, Problem: "names a parameter of type integer", Allowed: "a parameter of type size", Line: 15, Column: 11},
	},
	"parameter wider than the field": {
		name: "shop", replacements: []string{`"max": 100`, `"max": 101`},
		want: configurer.Fault{Workload: "shop", Parameter: "fields.priority", Value: `"$priority"`, Problem: "names a parameter with wider limits than the field", Allowed: "a whole number from 0 to 100", Line: 16, Column: 15},
	},
	"field without a value": {
		name: "shop", replacements: []string{`"slots": 8,`, ""},
		want: configurer.Fault{Workload: "shop", Parameter: "fields.slots", Problem: "is missing", Line: 13, Column: 12},
	},
}

func TestExpandFaults(t *testing.T) {
	for name, c := range expandFaults {
		t.Run(name, func(t *testing.T) {
			files := map[string]configurer.File{"shop": file(t, "shop"), "sorting": file(t, "sorting"), "moka": file(t, "moka")}
			files[c.name] = file(t, c.name, c.replacements...)
			_, faults := configurer.Expand([]configurer.File{files["shop"], files["sorting"]}, []configurer.File{files["moka"]}, domains)
			if len(faults) != 1 {
				t.Fatalf("Expand: faults %+v, want one", faults)
			}
			got := faults[0]
			got.File, got.Field = "", ""
			if got != c.want {
				t.Errorf("Expand: fault\n%+v, want\n%+v", got, c.want)
			}
		})
	}
}

func TestWindowNext(t *testing.T) {
	cases := map[string]struct {
		window        configurer.Window
		now           string
		opens, closes string
	}{
		"before":          {window: configurer.Window{From: "22:00", To: "05:00", Zone: "Indian/Mauritius"}, now: "2026-12-04T08:00:00Z", opens: "2026-12-04T18:00:00Z", closes: "2026-12-05T01:00:00Z"},
		"past midnight":   {window: configurer.Window{From: "22:00", To: "05:00", Zone: "Indian/Mauritius"}, now: "2026-12-05T00:59:59Z", opens: "2026-12-04T18:00:00Z", closes: "2026-12-05T01:00:00Z"},
		"just closed":     {window: configurer.Window{From: "22:00", To: "05:00", Zone: "Indian/Mauritius"}, now: "2026-12-05T01:00:00Z", opens: "2026-12-05T18:00:00Z", closes: "2026-12-06T01:00:00Z"},
		"same day":        {window: configurer.Window{From: "08:00", To: "18:00", Zone: "Europe/Vienna"}, now: "2026-07-01T07:00:00Z", opens: "2026-07-01T06:00:00Z", closes: "2026-07-01T16:00:00Z"},
		"clocks go back":  {window: configurer.Window{From: "22:00", To: "06:00", Zone: "Europe/Vienna"}, now: "2026-10-24T21:00:00Z", opens: "2026-10-24T20:00:00Z", closes: "2026-10-25T05:00:00Z"},
		"clocks go ahead": {window: configurer.Window{From: "22:00", To: "06:00", Zone: "Europe/Vienna"}, now: "2026-03-28T22:00:00Z", opens: "2026-03-28T21:00:00Z", closes: "2026-03-29T04:00:00Z"},
		"whole day":       {window: configurer.Window{From: "00:00", To: "00:00", Zone: "UTC"}, now: "2026-12-04T08:00:00Z", opens: "2026-12-04T00:00:00Z", closes: "2026-12-05T00:00:00Z"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now, err := time.Parse(time.RFC3339, c.now)
			if err != nil {
				t.Fatal(err)
			}
			opens, closes := c.window.Next(now)
			if got := opens.UTC().Format(time.RFC3339); got != c.opens {
				t.Errorf("opens %s, want %s", got, c.opens)
			}
			if got := closes.UTC().Format(time.RFC3339); got != c.closes {
				t.Errorf("closes %s, want %s", got, c.closes)
			}
		})
	}
}

// FuzzExpand checks that Expand does not panic and that it returns no configuration
// together with faults.
func FuzzExpand(f *testing.F) {
	f.Add(file(f, "shop").Content, file(f, "moka").Content)
	f.Add(file(f, "sorting").Content, []byte(`{"organisation": "o", "workloads": [{"name": "w", "template": "sorting"}]}`))
	f.Fuzz(func(t *testing.T, template, organisation []byte) {
		c, faults := configurer.Expand([]configurer.File{{Name: "t", Content: template}}, []configurer.File{{Name: "o", Content: organisation}}, domains)
		if len(faults) > 0 && len(c.Organisations) > 0 {
			t.Fatalf("Expand: %+v beside faults %+v", c, faults)
		}
	})
}

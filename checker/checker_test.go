package checker_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"zinniashore.example/checker"
	"zinniashore.example/platform"
)

// replaced returns the text of a file of testdata with pairs of texts replaced.
func replaced(t testing.TB, name string, pairs ...string) checker.Document {
	t.Helper()
	content, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	text := string(content)
	for i := 0; i < len(pairs); i += 2 {
		if !strings.Contains(text, pairs[i]) {
			t.Fatalf("%s does not contain %q", name, pairs[i])
		}
		text = strings.Replace(text, pairs[i], pairs[i+1], 1)
	}
	return checker.Document{Name: name, Content: []byte(text)}
}

// checks are edits of testdata/whole.json, of the same file as the configuration in
// force, and of the settings; nil leaves a file out.
var checks = map[string]struct {
	edit, inForce, settings []string
}{
	"whole":                  {inForce: []string{`"version": 7`, `"version": 6`}, settings: []string{}},
	"syntax":                 {edit: []string{`"version": 7,`, `"version": 7;`}},
	"truncated":              {edit: []string{"\n}\n", ""}},
	"comment":                {edit: []string{`"version": 7,`, `"version": 7, // next`}},
	"not_an_object":          {edit: []string{"{\n  \"version\"", "[{\n  \"version\"", "\n}\n", "\n}]\n"}},
	"no_version":             {edit: []string{`"version": 7,`, ``}},
	"wrong_types":            {edit: []string{`"timeout-ms": 3000`, `"timeout-ms": "3s"`, `"max-attempts": 3`, `"max-attempts": 1.5`, `"priority": 0`, `"priority": null`}},
	"out_of_range":           {edit: []string{`"timeout-ms": 3000`, `"timeout-ms": -1`, `"stretch": 1.5`, `"stretch": -2`, `"max-attempts": 3`, `"max-attempts": 0`}},
	"route_not_an_object":    {edit: []string{`"routes": [`, `"routes": [null,`}},
	"other_case":             {edit: []string{`"routes"`, `"Routes"`}},
	"unknown_fields":         {edit: []string{`"priority": 0`, `"priorty": 0`, `"limits": {`, `"limits": {"max-conns": 4,`}},
	"given_twice":            {edit: []string{`"priority": 0`, `"priority": 0, "priority": 1`}},
	"names_missing":          {edit: []string{`"name": "orders",`, ``, `"host": "shop.example"`, `"host": ""`, `"prefix": "/returns/"`, `"prefix": ""`}},
	"same_prefix":            {edit: []string{`"host": "shop.example", "prefix": "/returns/"`, `"host": "Shop.example", "prefix": "/orders/"`}},
	"same_prefix_other_host": {edit: []string{`"host": "shop.example", "prefix": "/returns/"`, `"host": "books.example", "prefix": "/orders/"`}},
	"nested_prefix":          {edit: []string{`"prefix": "/returns/"`, `"prefix": "/orders/returns/"`}},
	"prefix_beside_ids":      {edit: []string{`"prefix": "/returns/"`, `"prefix": "/orders/0x/"`}},
	"prefix_of_ids":          {edit: []string{`"prefix": "/returns/"`, `"prefix": "/orders/0a"`}},
	"prefix_of_ids_earlier":  {edit: []string{`"prefix": "/orders/"`, `"prefix": "/returns/ff"`}},
	"prefix_without_slash":   {edit: []string{`"prefix": "/orders/"`, `"prefix": "orders/"`, `"prefix": "/returns/"`, `"prefix": "/returns"`}},
	"host_with_port":         {edit: []string{`"host": "shop.example"`, `"host": "shop.example:8080"`}},
	"same_names":             {edit: []string{`"name": "returns"`, `"name": "orders"`, `{"name": "desk"`, `{"name": "shop"}, {"name": "desk"`}},
	"service_not_named":      {edit: []string{`{"name": "desk"`, `{"name": "dseK"`}},
	"no_objective":           {edit: []string{`"target-duration-ms": 500, `, ``, `, "stretch": 1.5`, ``}},
	"no_routes_or_limits":    {edit: []string{`"routes"`, `"x"`, `"limits"`, `"y"`, `"services"`, `"z"`}},
	"idle_below_header":      {edit: []string{`"idle-timeout-ms": 15000`, `"idle-timeout-ms": 2000`}},
	"limits_of_0":            {edit: []string{`"idle-timeout-ms": 15000`, `"idle-timeout-ms": 0`}},
	"header_above_body":      {edit: []string{`"max-body-bytes": 262144`, `"max-body-bytes": 4096`}},
	"body_above_memory":      {edit: []string{`"max-body-bytes": 262144`, `"max-body-bytes": 142000000`}, settings: []string{}},
	"body_in_memory":         {edit: []string{`"max-body-bytes": 262144`, `"max-body-bytes": 141991808`}, settings: []string{}},
	"header_above_memory":    {edit: []string{`"max-header-bytes": 16384`, `"max-header-bytes": 9223372036854775807`}, settings: []string{}},
	"headers_above_memory":   {edit: []string{`"max-header-bytes": 16384`, `"max-header-bytes": 131072`}, settings: []string{}},
	"few_descriptors":        {settings: []string{`"max-fds": 4100`, `"max-fds": 200`}},
	"settings_without_size":  {settings: []string{`"memory-mb": 284, "max-fds": 4100`, `"cores": 1`}},
	"version_in_force":       {inForce: []string{}},
	"lower_version":          {inForce: []string{`"version": 7`, `"version": 8`}},
	"differences": {
		edit: []string{
			`"name": "returns"`, `"name": "claims"`, `"priority": 0`, `"priority": 1`, `"max-attempts": 3, `, ``,
			`"max-conns": 64`, `"max-conns": 32`, `{"name": "desk"}`, `{"name": "desk"}, {"name": "till"}`,
			`"idle-timeout-ms": 15000`, `"idle-timeout-ms": 20000`,
		},
		inForce: []string{`"version": 7`, `"version": 6`, `{"name": "desk"}`, `{"name": "desk"}, {"name": "old"}`},
	},
	"limits_added":                   {inForce: []string{`"version": 7`, `"version": 6`, `"limits"`, `"y"`}},
	"differences_with_faulty_forced": {inForce: []string{`"version": 7`, `"version": 6`, `"priority": 0`, `"priority": -1`}},
}

func TestCheck(t *testing.T) {
	for name, c := range checks {
		t.Run(name, func(t *testing.T) {
			subject := checker.Checker{Configuration: replaced(t, "whole.json", c.edit...)}
			if c.inForce != nil {
				inForce := replaced(t, "whole.json", c.inForce...)
				inForce.Name = "in-force.json"
				subject.InForce = &inForce
			}
			if c.settings != nil {
				settings := replaced(t, "settings.json", c.settings...)
				subject.Settings = &settings
			}
			findings, err := subject.Check()
			if err != nil {
				t.Fatal(err)
			}
			var text strings.Builder
			for _, f := range findings {
				fmt.Fprintf(&text, "%s (%s)\n", f, f.Kind)
			}
			goldie.New(t).Assert(t, name, []byte(text.String()))
		})
	}
}

// TestUndecodable guards against a configuration that a process cannot read and that the
// check lets through.
func TestUndecodable(t *testing.T) {
	for name, c := range checks {
		t.Run(name, func(t *testing.T) {
			document := replaced(t, "whole.json", c.edit...)
			findings, err := checker.Checker{Configuration: document}.Check()
			if err != nil {
				t.Fatal(err)
			}
			_, err = platform.DecodeConfiguration(document.Content)
			if err != nil && checker.Count(findings, checker.SeverityError) == 0 {
				t.Errorf("a process reports %v, and the check no error: %v", err, findings)
			}
		})
	}
}

// TestInputError guards against a comparison with a file that cannot be read, which would
// show no differences.
func TestInputError(t *testing.T) {
	whole := replaced(t, "whole.json")
	tests := map[string]struct {
		subject checker.Checker
		want    string
	}{
		"configuration in force is no JSON":     {subject: checker.Checker{InForce: &checker.Document{Name: "f", Content: []byte(`{`)}}, want: "cannot read f: f:1:1: error: unexpected end of JSON input"},
		"configuration in force has no version": {subject: checker.Checker{InForce: &checker.Document{Name: "f", Content: []byte(`{}`)}}, want: "cannot read f: f:1:1: version: error: is missing"},
		"settings are no JSON":                  {subject: checker.Checker{Settings: &checker.Document{Name: "f", Content: []byte(`{"limits"}`)}}, want: "cannot read f: f:1:10"},
		"settings have a text for a number":     {subject: checker.Checker{Settings: &checker.Document{Name: "f", Content: []byte(`{"limits": {"max-fds": "4100"}}`)}}, want: "cannot read f: f:1:24: limits.max-fds: is not a number"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			c.subject.Configuration = whole
			findings, err := c.subject.Check()
			var input *checker.InputError
			if !errors.As(err, &input) || input.File != "f" || findings != nil {
				t.Fatalf("Check: %v, %v, want an *InputError of f", findings, err)
			}
			if !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("Check: %v, want %s", err, c.want)
			}
		})
	}
}

// TestManyRoutes guards against a check whose results grow with the square of the routes.
func TestManyRoutes(t *testing.T) {
	const routes = 2000
	one := `{"name": "a", "host": "h", "prefix": "/a/", "service": "s", "stretch": 1}`
	text := `{"version": 1, "routes": [` + strings.Repeat(one+",\n", routes-1) + one + `], "services": [{"name": "s"}], "limits": {}}`
	findings, err := checker.Checker{Configuration: checker.Document{Name: "f", Content: []byte(text)}}.Check()
	if err != nil || len(findings) != 2*(routes-1) {
		t.Errorf("%d findings, %v, want two for each route but the first", len(findings), err)
	}
}

// FuzzCheck checks that any text is checked, that a check is repeatable, and that no text
// passes that a process cannot read.
func FuzzCheck(f *testing.F) {
	whole := replaced(f, "whole.json")
	settings := replaced(f, "settings.json")
	f.Add(whole.Content)
	f.Add([]byte(`{"version": 1, "routes": [{}], "services": [null], "limits": null}`))
	f.Add([]byte(`{"version": 1, "routes": [{"name": "a"}], "Routes": [{"name": "b"}, {}]}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		subject := checker.Checker{Configuration: checker.Document{Name: "f", Content: content}, InForce: &whole, Settings: &settings}
		findings, err := subject.Check()
		again, _ := subject.Check()
		if err != nil || fmt.Sprint(findings) != fmt.Sprint(again) {
			t.Fatalf("Check: %v, then %v, %v", findings, again, err)
		}
		if _, err := platform.DecodeConfiguration(content); err != nil && checker.Count(findings, checker.SeverityError) == 0 {
			t.Fatalf("a process reports %v, and the check no error", err)
		}
	})
}

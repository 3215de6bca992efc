package checker

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"zinniashore.example/decoder"
)

// entry is a route, a service or the limits as written.
type entry struct {
	// title names the entry, such as "route orders".
	title  string
	fields map[string]any
	*decoder.Object
}

// checkVersion checks that the version is above the one in force; processes ignore any
// other.
func (c configuration) checkVersion(inForce configuration) []Finding {
	if c.version > inForce.version {
		return nil
	}
	return []Finding{fieldFinding(c.root, "version", SeverityError, KindVersion,
		"is %d, and version %d is in force: processes ignore a version that is not above it", c.version, inForce.version)}
}

// differences returns what changes with the configuration after in place of the one
// before.
func differences(before, after configuration) []Finding {
	findings := entryDifferences(before.routeEntries(), after.routeEntries())
	findings = append(findings, entryDifferences(before.serviceEntries(), after.serviceEntries())...)
	return append(findings, entryDifferences(before.limitEntries(), after.limitEntries())...)
}

func (c configuration) routeEntries() map[string]entry {
	entries := map[string]entry{}
	for i, r := range c.routes {
		if _, found := entries[r.Name]; !found {
			entries[r.Name] = entry{title: "route " + r.Name, fields: c.fields.Routes[i], Object: r.Object}
		}
	}
	return entries
}

func (c configuration) serviceEntries() map[string]entry {
	entries := map[string]entry{}
	for i, s := range c.services {
		if _, found := entries[s.name]; !found {
			entries[s.name] = entry{title: "service " + s.name, fields: c.fields.Services[i], Object: s.Object}
		}
	}
	return entries
}

func (c configuration) limitEntries() map[string]entry {
	if c.limits.object == nil {
		return nil
	}
	return map[string]entry{"limits": {title: "limits", fields: c.fields.Limits, Object: c.limits.object}}
}

// entryDifferences compares entries by name.
func entryDifferences(before, after map[string]entry) []Finding {
	names := map[string]bool{}
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	var findings []Finding
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, wasThere := before[name]
		current, isThere := after[name]
		switch {
		case !isThere:
			findings = append(findings, fieldFinding(old.Object, "", SeverityDifference, KindRemoved, "removed: %s", old.title))
		case !wasThere:
			findings = append(findings, fieldFinding(current.Object, "", SeverityDifference, KindAdded, "added: %s", current.title))
		default:
			if changes := fieldChanges(old.fields, current.fields); changes != "" {
				findings = append(findings, fieldFinding(current.Object, "", SeverityDifference, KindChanged, "changed: %s: %s", current.title, changes))
			}
		}
	}
	return findings
}

// fieldChanges describes the fields that differ.
func fieldChanges(before, after map[string]any) string {
	names := maps.Clone(before)
	if names == nil {
		names = map[string]any{}
	}
	maps.Copy(names, after)
	var changes []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if !reflect.DeepEqual(before[name], after[name]) {
			changes = append(changes, fmt.Sprintf("%s from %s to %s", name, valueText(before, name), valueText(after, name)))
		}
	}
	return strings.Join(changes, ", ")
}

// valueText returns the value of a field as JSON, or "nothing" for a missing field.
func valueText(fields map[string]any, name string) string {
	value, found := fields[name]
	if !found {
		return "nothing"
	}
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}

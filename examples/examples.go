// Package examples holds the templates and parameter values of the trial.
package examples

import "embed"

// Files are the templates, the parameter values and the settings.
//
//go:embed *.jsonc
var Files embed.FS

// Templates are the names of the templates, then of the parameter values.
func Templates() []string {
	return []string{"cane-shop.jsonc", "engraving.jsonc", "stockwerk.jsonc"}
}

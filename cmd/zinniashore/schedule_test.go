package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"zinniashore.example/operator"
)

const checkedSettings = `{
	"node": "edge-1", "zone": "graz-a", "zones": {"graz-a": "steiermark"}, "ip": "127.0.0.1",
	"listen": {"frontend": "127.0.0.1:8161", "readiness": "127.0.0.1:8167"}, "port-range": [7720, 7735],
	"platform": {"address": "127.0.0.1:8169"}, "bounds": {"max-hold-ms": 6000, "status_s": 120, "grace-s": 6}
}`

// TestScheduleCheck checks that an invalid field is reported with its file and that
// nothing starts.
func TestScheduleCheck(t *testing.T) {
	tests := map[string]struct {
		settings   string
		wantStatus operator.ExitStatus
		wantError  string
	}{
		"good settings":     {settings: checkedSettings, wantStatus: operator.ExitDone},
		"an unknown domain": {settings: strings.Replace(checkedSettings, `"zone": "graz-a"`, `"zone": "linz"`, 1), wantStatus: operator.ExitUsage, wantError: "zone"},
		"a host name":       {settings: strings.Replace(checkedSettings, `127.0.0.1:8169`, `store:8169`, 1), wantStatus: operator.ExitUsage, wantError: "platform.address"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings.json")
			if err := os.WriteFile(file, []byte(test.settings), 0o600); err != nil {
				t.Fatal(err)
			}
			command := scheduleCommand{Settings: file, Check: true}
			var out strings.Builder
			status, err := command.Run(t.Context(), &out)
			if status != test.wantStatus {
				t.Errorf("status %d (%v), want %d", status, err, test.wantStatus)
			}
			if test.wantError != "" && (err == nil || !strings.Contains(err.Error(), test.wantError) || !strings.Contains(err.Error(), file)) {
				t.Errorf("error %v, want one that names %s and the file", err, test.wantError)
			}
		})
	}
}

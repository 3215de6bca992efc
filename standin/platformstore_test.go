package standin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestLeasesInOutage guards against a soak in which the key of a lost process is gone when the store returns
// although its leases were to pause, or lasts on although they were to expire.
func TestLeasesInOutage(t *testing.T) {
	const ttl = 400 * time.Millisecond
	tests := map[string]struct {
		faults PlatformFaults
		// returned and later tell whether the key is there when the store returns, twice the time of a
		// lease after its grant, and three quarters of that time later.
		returned, later bool
	}{
		"leases expire":      {},
		"leases pause":       {faults: PlatformFaults{PauseLeases: true}, returned: true},
		"leases are renewed": {faults: PlatformFaults{RenewLeases: true}, returned: true, later: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store := &PlatformStore{}
			call := func(method, path, body string) int {
				rw := httptest.NewRecorder()
				store.ServeHTTP(rw, httptest.NewRequest(method, path, strings.NewReader(body)))
				return rw.Code
			}
			if status := call(http.MethodPost, "/api/kv-lease", `{"ttl-ms":400}`); status != http.StatusOK {
				t.Fatalf("grant: status %d", status)
			}
			if status := call(http.MethodPost, "/api/kv-txn", `{"writes":[{"key":"holder","value":"eA==","lease":1}]}`); status != http.StatusOK {
				t.Fatalf("commit: status %d", status)
			}
			time.Sleep(ttl / 2)
			store.SetFaults(test.faults)
			time.Sleep(ttl + ttl/2)
			store.SetFaults(PlatformFaults{})
			check := func(when string, want bool) {
				t.Helper()
				if found := call(http.MethodGet, "/api/kv-key?key=holder", "") == http.StatusOK; found != want {
					t.Errorf("%s: key found %t, want %t", when, found, want)
				}
			}
			check("at the return", test.returned)
			time.Sleep(ttl * 3 / 4)
			check("later", test.later)
		})
	}
}

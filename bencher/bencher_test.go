package bencher_test

import (
	"testing"
	"time"

	"github.com/zeromicro/go-zero/core/logx"

	"zinniashore.example/bencher"
)

// TestRequests runs the measurement with small loads: it must give all rows.
// What the figures are is no matter of a test.
func TestRequests(t *testing.T) {
	logx.Disable()
	report, err := bencher.Requests(t.Context(), bencher.Options{
		Duration: 100 * time.Millisecond, Endpoints: 3, Slots: 2, ServiceTime: 10 * time.Millisecond, WarmUp: 20 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report.Conditions)
	for _, row := range report.Rows {
		t.Log(row)
	}
	if got := len(report.Rows); got != 14 {
		t.Errorf("%d rows, want 14", got)
	}
}

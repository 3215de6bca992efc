package bencher_test

import (
	"testing"
	"time"

	"github.com/zeromicro/go-zero/core/logx"

	"zinniashore.example/bencher"
)

// TestRequests runs the measurement with small loads and checks that it returns all rows.
// It does not check the figures, which depend on the machine.
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

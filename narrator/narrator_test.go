package narrator_test

import (
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"zinniashore.example/narrator"
)

func TestMerge(t *testing.T) {
	const id = "8b773047bd6c8c76"
	logs := func() []narrator.Log {
		return []narrator.Log{
			{Source: "edge-1", Content: strings.NewReader(`I0309 17:51:13.865363   26622 acceptor.go:171] "Job submitted" job="8b773047bd6c8c76" outcome="accepted"
I0309 17:51:13.900000   26622 acceptor.go:171] "Job submitted" job="0000000000000001" outcome="accepted"
{"content":"8b773047bd6c8c76 in a line of another form"}
`)},
			{Source: "edge-2", Content: strings.NewReader(`  8.7714 edge-2 I0309 17:51:13.860000   26623 events.go:52] "Event" kind="job_added" job="8b773047bd6c8c76"
  9.7714 edge-2 I0309 17:51:14.860000   26623 events.go:52] "Event" kind="job_final" job="8b773047bd6c8c76" detail="completed"
`)},
		}
	}
	tests := map[string]struct {
		id         string
		clockError time.Duration
	}{
		"exact clocks":            {id: id},
		"clocks that may differ":  {id: id, clockError: 20 * time.Millisecond},
		"an id that nobody knows": {id: "ffffffffffffffff"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			lines, err := narrator.Merge(logs(), test.id, test.clockError)
			if err != nil {
				t.Fatal(err)
			}
			var merged strings.Builder
			for _, l := range lines {
				merged.WriteString(l.String() + "\n")
			}
			goldie.New(t).Assert(t, strings.ReplaceAll(name, " ", "_"), []byte(merged.String()))
		})
	}
}

// TestMergeLineTooLong checks that a log that can't be read yields an error that names
// the log.
func TestMergeLineTooLong(t *testing.T) {
	log := narrator.Log{Source: "edge-1", Content: strings.NewReader(strings.Repeat("x", 2<<20))}
	if _, err := narrator.Merge([]narrator.Log{log}, "x", 0); err == nil || !strings.Contains(err.Error(), "edge-1") {
		t.Errorf("error %v, want one that names the log", err)
	}
}

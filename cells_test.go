package zinniashore

import (
	"fmt"
	"testing"

	"zinniashore.example/owner"
	"zinniashore.example/placer"
	"zinniashore.example/submitter"
)

// evacuatedDomains are the names of evacuated failure domains.
type evacuatedDomains map[string]bool

// Evacuated implements owner.Evacuations.
func (e evacuatedDomains) Evacuated(failureDomain string) (evacuated, known bool) {
	return e[failureDomain], true
}

// TestPreferredCells guards against new jobs that wait in an evacuated failure domain
// though another can run them, and against jobs in a cell that can never run them.
func TestPreferredCells(t *testing.T) {
	cells := []owner.Cell{{ID: "graz-a-0", FailureDomain: "graz-a"}, {ID: "graz-b-0", FailureDomain: "graz-b"}, {ID: "graz-c-0", FailureDomain: "graz-c"}}
	workers := []owner.WorkerVM{
		{ID: "w1", FailureDomain: "graz-a", Capacity: placer.Size{Processors: 64000}},
		{ID: "w2", FailureDomain: "graz-b", Capacity: placer.Size{Processors: 64000}},
		{ID: "w3", FailureDomain: "graz-c", Capacity: placer.Size{Processors: 8000}},
	}
	tests := map[string]struct {
		evacuated evacuatedDomains
		job       submitter.Job
		want      string
	}{
		"none evacuated":                       {job: submitter.Job{Size: placer.Size{Processors: 4000}}, want: "[graz-a-0 graz-b-0 graz-c-0]"},
		"one evacuated":                        {evacuated: evacuatedDomains{"graz-a": true}, job: submitter.Job{Size: placer.Size{Processors: 4000}}, want: "[graz-b-0 graz-c-0]"},
		"all evacuated":                        {evacuated: evacuatedDomains{"graz-a": true, "graz-b": true, "graz-c": true}, job: submitter.Job{Size: placer.Size{Processors: 4000}}, want: "[graz-a-0 graz-b-0 graz-c-0]"},
		"its only failure domain is evacuated": {evacuated: evacuatedDomains{"graz-a": true}, job: submitter.Job{FailureDomains: []string{"graz-a"}, Size: placer.Size{Processors: 4000}}, want: "[graz-a-0]"},
		"too large for the open ones":          {evacuated: evacuatedDomains{"graz-a": true, "graz-b": true}, job: submitter.Job{Size: placer.Size{Processors: 32000}}, want: "[graz-a-0 graz-b-0 graz-c-0]"},
		"too large for all":                    {job: submitter.Job{Size: placer.Size{Processors: 96000}}, want: "[graz-a-0 graz-b-0 graz-c-0]"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &cellChooser{cells: cells, evacuations: test.evacuated}
			var got []string
			for _, cell := range c.preferredCells(test.job, workers) {
				got = append(got, cell.ID)
			}
			if fmt.Sprint(got) != test.want {
				t.Errorf("preferred cells %v, want %s", got, test.want)
			}
		})
	}
}

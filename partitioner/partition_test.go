package partitioner

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// racked returns workers of a failure domain, spread evenly over racks.
func racked(domain string, workers, racks int) []Worker {
	var all []Worker
	for i := range workers {
		all = append(all, Worker{FailureDomain: domain, Rack: fmt.Sprintf("r%d", i%racks)})
	}
	return all
}

func TestDivide(t *testing.T) {
	tests := map[string]struct {
		workers   []Worker
		undivided map[string]bool
		want      []string
	}{
		"no workers":                        {want: []string{"graz-a"}},
		"a small domain":                    {workers: racked("graz-a", 17, 3), want: []string{"graz-a"}},
		"as many as a cell may have":        {workers: racked("graz-a", 120, 6), want: []string{"graz-a"}},
		"more than a cell may have":         {workers: racked("graz-a", 121, 6), want: []string{"graz-a#1", "graz-a#2"}},
		"many workers":                      {workers: racked("graz-a", 830, 42), want: []string{"graz-a#1", "graz-a#2", "graz-a#3", "graz-a#4", "graz-a#5", "graz-a#6", "graz-a#7"}},
		"one rack":                          {workers: racked("graz-a", 500, 1), want: []string{"graz-a"}},
		"a domain whose cell has a history": {workers: racked("graz-a", 500, 25), undivided: map[string]bool{"graz-a": true}, want: []string{"graz-a"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := Divide(test.workers, test.undivided).Cells("graz-a"); !slices.Equal(got, test.want) {
				t.Errorf("the cells are %q, want %q", got, test.want)
			}
		})
	}
}

// TestCellsAreEven guards against a cell with much more work than its holder can do.
func TestCellsAreEven(t *testing.T) {
	workers := racked("graz-a", 220, 11)
	p := Divide(workers, nil)
	counts := map[string]int{}
	for _, w := range workers {
		counts[p.Cell(w)]++
	}
	if len(counts) != 2 {
		t.Fatalf("workers in %d cells, want 2", len(counts))
	}
	for cell, count := range counts {
		if count > maxCellWorkers {
			t.Errorf("%s has %d workers, want at most %d", cell, count, maxCellWorkers)
		}
	}
}

// TestRackIsInOneCell guards against two holders for one worker: whatever was known when the
// domains were divided, each worker is in exactly one cell of its domain, with its rack, and
// stays there once the partition was stored and read.
func TestRackIsInOneCell(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawWorker := rapid.Custom(func(t *rapid.T) Worker {
			return Worker{
				FailureDomain: rapid.SampledFrom([]string{"graz", "graz-a", "graz-a.1"}).Draw(t, "domain"),
				Rack:          rapid.StringMatching(`r[0-9]{1,2}`).Draw(t, "rack"),
			}
		})
		p := Divide(rapid.SliceOfN(drawWorker, 0, 500).Draw(t, "known"), nil)
		content, err := encode(p)
		if err != nil {
			t.Fatal(err)
		}
		stored, err := decode(content)
		if err != nil {
			t.Fatal(err)
		}
		later := drawWorker.Draw(t, "worker")
		cell := p.Cell(later)
		if again := stored.Cell(later); again != cell {
			t.Errorf("the cell is %s before and %s after the partition was stored", cell, again)
		}
		if !slices.Contains(p.Cells(later.FailureDomain), cell) {
			t.Errorf("the cell %s is none of %q", cell, p.Cells(later.FailureDomain))
		}
	})
}

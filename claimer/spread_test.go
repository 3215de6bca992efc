package claimer_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/claimer"
	"zinniashore.example/platform"
	"zinniashore.example/standin"
)

// claimedCell is a cell that a process has claimed.
type claimedCell struct{ process, cell string }

// startCandidate starts a candidate for the cells of its failure domain.
func startCandidate(t *testing.T, address, process string, processors float64, cells []string, claimed chan<- claimedCell) {
	t.Helper()
	c := &claimer.Claimer{
		Store: platform.NewStore(address), Clock: clockwork.NewRealClock(), Prefix: "holders/", TermPrefix: "terms/", HomeCells: cells,
		Self:              claimer.Holder{Process: process, FailureDomain: "graz-a", Address: "127.0.0.1:1", Incarnation: process, Processors: processors},
		AssumedProcessors: 1,
		Hold: func(ctx context.Context, cell string, _ claimer.Term) error {
			claimed <- claimedCell{process, cell}
			<-ctx.Done()
			return nil
		},
		Eligible: func() bool { return true },
		Holds:    func(context.Context, claimer.Holder, string) bool { return false },
	}
	go func() { _ = c.Run(t.Context()) }()
}

// TestCellsAreSpread guards against a process that holds all cells of its failure domain while
// others that are as strong hold none, and against a weak holder where there are strong candidates.
func TestCellsAreSpread(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// processors are those of the candidates, cells how many cells there are.
		processors []float64
		cells      int
		// weakest is the number of processors that a holder has at least, most the number of cells
		// that it holds at most.
		weakest float64
		most    int
	}{
		"as many strong candidates as cells": {processors: []float64{0.8, 0.8, 0.11, 0.11, 0.11, 0.11}, cells: 2, weakest: 0.8, most: 1},
		"fewer strong candidates":            {processors: []float64{0.8, 0.11, 0.11, 0.11, 0.11}, cells: 2, weakest: 0.8, most: 2},
		"equal candidates":                   {processors: []float64{0.16, 0.16, 0.16}, cells: 3, weakest: 0.16, most: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, err := standin.Listen(t.Context(), "127.0.0.1:0", &standin.PlatformStore{})
			if err != nil {
				t.Fatal(err)
			}
			var cells []string
			for i := range test.cells {
				cells = append(cells, fmt.Sprintf("graz-a#%d", i+1))
			}
			claimed := make(chan claimedCell, test.cells)
			for i, processors := range test.processors {
				startCandidate(t, address, fmt.Sprintf("edge-%d", i), processors, cells, claimed)
			}
			held := map[string]int{}
			for range test.cells {
				select {
				case next := <-claimed:
					held[next.process]++
				case <-time.After(waitLimit):
					t.Fatal("a cell has no holder")
				}
			}
			for process, count := range held {
				var number int
				if _, err := fmt.Sscanf(process, "edge-%d", &number); err != nil {
					t.Fatal(err)
				}
				if test.processors[number] < test.weakest {
					t.Errorf("%s with %v processors holds a cell", process, test.processors[number])
				}
				if count > test.most {
					t.Errorf("%s holds %d cells, want at most %d", process, count, test.most)
				}
			}
		})
	}
}

package holder

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/dispatcher"
)

// TestYield guards against an earlier holder that acts on after it has answered that it doesn't: a
// claim whose answer was late began its term after the cell had been yielded.
func TestYield(t *testing.T) {
	const cell, epoch = "graz-a", 7
	tests := map[string]struct {
		held, asked      int64
		ended, continues bool
	}{
		"an earlier epoch is stopped":       {held: epoch, asked: epoch + 1},
		"its own epoch continues":           {held: epoch, asked: epoch, ended: true, continues: true},
		"a newer epoch continues":           {held: epoch, asked: epoch - 1, ended: true, continues: true},
		"a cell that isn't held is yielded": {asked: epoch, ended: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			cells := &Cells{}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			runner := dispatcher.NewRunner(dispatcher.NewCell(cell, test.held, dispatcher.Limits{}, noEvents{}), clockwork.NewRealClock(), nil, nil)
			if test.held != 0 && !cells.set(cell, heldCell{runner: runner, epoch: test.held, stop: stop}) {
				t.Fatal("the cell can't be held")
			}
			if ended := cells.Yield(cell, test.asked); ended != test.ended {
				t.Errorf("Yield() = %t, want %t", ended, test.ended)
			}
			if continues := test.held != 0 && ctx.Err() == nil; continues != test.continues {
				t.Errorf("the runner continues: %t, want %t", continues, test.continues)
			}
			cells.unset(cell, runner)
			if cells.set(cell, heldCell{runner: runner, epoch: test.asked - 1, stop: stop}) {
				t.Error("a cell that was yielded can be held again under an earlier epoch")
			}
		})
	}
}

package holder

import (
	"testing"

	"zinniashore.example/archiver"
	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
	"zinniashore.example/standin"
)

// saveFailedPart delegates a part of the test job to another cell, which gives it up.
func saveFailedPart(t *testing.T, store *platform.Store) {
	t.Helper()
	const partCell = "graz-b"
	archive := &archiver.Archiver{Store: store}
	epoch, err := store.Commit(t.Context(), platform.Transaction{Writes: []platform.Item{{Key: archiver.TermPrefix + partCell}}})
	if err != nil {
		t.Fatal(err)
	}
	other := &archiver.CellArchive{Archiver: archive, Cell: partCell, Epoch: epoch}
	failed := dispatcher.BatchJob{ID: testJob, Progress: dispatcher.Progress{State: dispatcher.StateFailed}}
	if err := other.Save(t.Context(), &dispatcher.Batch{Jobs: []dispatcher.BatchJob{failed}}); err != nil {
		t.Fatal(err)
	}
}

// TestHolderFailsJobOfFailedPart guards against a holder that shows a job as running for ever
// after another cell has given up a task of it, whether the holder runs then or starts later.
func TestHolderFailsJobOfFailedPart(t *testing.T) {
	tests := map[string]struct{ failsFirst bool }{
		"the part fails under the holder": {},
		"the part fails without a holder": {failsFirst: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address, err := standin.Listen(t.Context(), "127.0.0.1:0", &standin.PlatformStore{})
			if err != nil {
				t.Fatal(err)
			}
			store := platform.NewStore(address)
			archive := &archiver.Archiver{Store: store}
			acceptTestJob(t, archive)
			if test.failsFirst {
				saveFailedPart(t, store)
			}
			runner := holdTestCell(t, store)
			if !test.failsFirst {
				saveFailedPart(t, store)
			}
			waitFor(t, cancelTimeout, "the holder has failed the job", func() bool {
				state, _ := runner.State(testJob)
				return state == dispatcher.StateFailed
			})
			if state, err := archive.State(t.Context(), testCell, testJob); err != nil || state != dispatcher.StateFailed {
				t.Errorf("stored state = %q, %v; want %q", state, err, dispatcher.StateFailed)
			}
		})
	}
}

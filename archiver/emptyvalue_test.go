package archiver_test

import (
	"context"
	"errors"
	"testing"

	"zinniashore.example/archiver"
	"zinniashore.example/platform"
)

// strictStore refuses writes whose value is missing or empty, as some stores do.
type strictStore struct{ *platform.Store }

var errEmptyValue = errors.New("a write has no value")

// Commit implements archiver.Store.
func (s strictStore) Commit(ctx context.Context, transaction platform.Transaction) (int64, error) {
	for _, item := range transaction.Writes {
		if len(item.Value) == 0 {
			return 0, errEmptyValue
		}
	}
	return s.Store.Commit(ctx, transaction)
}

// TestCancelUnacceptedHasValue guards against cancellations of unaccepted jobs that a store refuses
// because they have an empty value: the client gets no acknowledgement, and a submission that is
// still under way runs.
func TestCancelUnacceptedHasValue(t *testing.T) {
	_, store := newArchiver(t)
	a := &archiver.Archiver{Store: strictStore{store}}
	if home, err := a.CancelUnaccepted(t.Context(), cell, jobID); err != nil || home != "" {
		t.Fatalf("CancelUnaccepted() = %q, %v, want no cell", home, err)
	}
	requireCancelled(t, a)
}

// TestEmptyCancellation guards against submissions that are accepted after their cancellation was
// stored by an earlier version, which wrote an empty value.
func TestEmptyCancellation(t *testing.T) {
	a, store := newArchiver(t)
	if _, err := store.Commit(t.Context(), platform.Transaction{Writes: []platform.Item{{Key: "zinniashore/ids/" + jobID}}}); err != nil {
		t.Fatal(err)
	}
	requireCancelled(t, a)
}

// requireCancelled checks that a job counts as cancelled before its acceptance.
func requireCancelled(t *testing.T, a *archiver.Archiver) {
	t.Helper()
	if home, err := a.Cell(t.Context(), jobID); err != nil || home != "" {
		t.Errorf("Cell() = %q, %v, want none", home, err)
	}
	if home, err := a.CancelUnaccepted(t.Context(), "graz-b", jobID); err != nil || home != "" {
		t.Errorf("the repeated CancelUnaccepted() = %q, %v, want no cell", home, err)
	}
	err := a.Accept(t.Context(), []archiver.AcceptedJob{{ID: jobID, Cell: cell, Record: []byte("{}")}})
	var exists *archiver.ExistsError
	if !errors.As(err, &exists) || !exists.Cancelled[jobID] {
		t.Errorf("Accept() = %v, want a job that was cancelled before", err)
	}
}

package acceptor_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/acceptor"
	"zinniashore.example/archiver"
	"zinniashore.example/platform"
)

// fakeArchive implements acceptor.Archive by the functions of a test case.
type fakeArchive struct {
	accept func() error
	cell   func() (string, error)
}

func (a *fakeArchive) Accept(context.Context, []archiver.AcceptedJob) error { return a.accept() }

func (a *fakeArchive) Cell(context.Context, string) (string, error) { return a.cell() }

func TestIntake(t *testing.T) {
	const id = "00000000000000a1"
	unclear := &platform.UnclearError{Call: "transaction", Err: errors.New("lost")}
	refused := &platform.RefusedError{Call: "transaction", Status: 503}
	tests := map[string]struct {
		archive fakeArchive
		want    acceptor.Outcome
	}{
		"stored": {
			archive: fakeArchive{accept: func() error { return nil }},
			want:    acceptor.OutcomeAccepted,
		},
		"stored before": {
			archive: fakeArchive{accept: func() error { return &archiver.ExistsError{IDs: map[string]bool{id: true}} }},
			want:    acceptor.OutcomeExists,
		},
		"refused": {
			archive: fakeArchive{accept: func() error { return refused }},
			want:    acceptor.OutcomeRefused,
		},
		"answer lost, then found stored in another cell": {
			archive: fakeArchive{accept: func() error { return unclear }, cell: func() (string, error) { return "graz-b", nil }},
			want:    acceptor.OutcomeExists,
		},
		"answer lost and nothing known": {
			archive: fakeArchive{accept: func() error { return unclear }, cell: func() (string, error) { return "", nil }},
			want:    acceptor.OutcomeUnclear,
		},
		"refused after an answer was lost": {
			archive: func() fakeArchive {
				answers := []error{unclear, refused}
				return fakeArchive{
					accept: func() error {
						answer := answers[0]
						if len(answers) > 1 {
							answers = answers[1:]
						}
						return answer
					},
					cell: func() (string, error) { return "", nil },
				}
			}(),
			want: acceptor.OutcomeUnclear,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			intake := acceptor.NewIntake(clockwork.NewRealClock(), &test.archive)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() {
				if err := intake.Run(ctx); err != nil {
					t.Error(err)
				}
			}()
			waiting, stop := context.WithTimeout(t.Context(), 700*time.Millisecond)
			defer stop()
			if got := intake.Accept(waiting, id, "graz-a", nil); got != test.want {
				t.Errorf("outcome = %q, want %q", got, test.want)
			}
		})
	}
}

// recordingArchive implements acceptor.Archive and records the ids of accepted jobs.
type recordingArchive struct{ ids []string }

func (a *recordingArchive) Accept(_ context.Context, jobs []archiver.AcceptedJob) error {
	for _, j := range jobs {
		a.ids = append(a.ids, j.ID)
	}
	return nil
}

func (a *recordingArchive) Cell(context.Context, string) (string, error) { return "", nil }

// TestAbandonedSubmission guards against a job that is stored although its client has left before
// anything of it was written.
func TestAbandonedSubmission(t *testing.T) {
	const waiting = "00000000000000a2"
	archive := &recordingArchive{}
	intake := acceptor.NewIntake(clockwork.NewRealClock(), archive)
	left, leave := context.WithCancel(t.Context())
	leave()
	if outcome := intake.Accept(left, "00000000000000a1", "graz-a", nil); outcome == acceptor.OutcomeAccepted {
		t.Errorf("the outcome is %q", outcome)
	}
	go func() { _ = intake.Run(t.Context()) }()
	if outcome := intake.Accept(t.Context(), waiting, "graz-a", nil); outcome != acceptor.OutcomeAccepted {
		t.Errorf("the outcome of the next submission is %q, want %q", outcome, acceptor.OutcomeAccepted)
	}
	if !slices.Equal(archive.ids, []string{waiting}) {
		t.Errorf("the jobs %q are stored, want only that of the client that waits", archive.ids)
	}
}

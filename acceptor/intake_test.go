package acceptor_test

import (
	"context"
	"errors"
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

package archiver_test

import (
	"bytes"
	"strings"
	"testing"

	"k8s.io/klog/v2"

	"zinniashore.example/archiver"
	"zinniashore.example/dispatcher"
	"zinniashore.example/logger"
	"zinniashore.example/platform"
)

// TestProgressWithoutRecordIsLogged guards against a job that a holder leaves out as it loads the cell, without a line.
func TestProgressWithoutRecordIsLogged(t *testing.T) {
	a, store := newArchiver(t)
	content, err := dispatcher.EncodeProgress(dispatcher.Progress{State: dispatcher.StateQueued})
	if err != nil {
		t.Fatal(err)
	}
	transaction := platform.Transaction{Writes: []platform.Item{{Key: "zinniashore/progress/" + cell + "/" + jobID, Value: content}}}
	if _, err := store.Commit(t.Context(), transaction); err != nil {
		t.Fatal(err)
	}
	var lines bytes.Buffer
	closeLog, err := logger.UseOutput(&lines)
	if err != nil {
		t.Fatal(err)
	}
	defer klog.LogToStderr(true)
	loaded, err := (&archiver.CellArchive{Archiver: a, Cell: cell}).Load(t.Context())
	closeLog()
	if err != nil || len(loaded.Jobs) > 0 {
		t.Fatalf("%d jobs were loaded (%v), want none", len(loaded.Jobs), err)
	}
	if want := `"Skipping the progress of jobs without a record" cell="` + cell + `" count=1 jobs=["` + jobID + `"]`; !strings.Contains(lines.String(), want) {
		t.Errorf("no line with %s in\n%s", want, lines.String())
	}
}

package configurer_test

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/configurer"
	"zinniashore.example/keeper"
	"zinniashore.example/standin"
)

// twoDomains starts one entry VM in each of two failure domains.
func twoDomains(t *testing.T, clock clockwork.Clock) *fleet {
	f := newFleet(t, clock, "curepipe", "phoenix")
	f.start("c1", "curepipe", noFaults)
	f.start("p1", "phoenix", noFaults)
	for _, vm := range []string{"c1", "p1"} {
		eventually(t, vm+" ready", f.process(vm).Ready)
	}
	return f
}

func (f *fleet) apply(vm string, change configurer.Change) configurer.Result {
	f.t.Helper()
	result, err := f.process(vm).Apply(f.t.Context(), change)
	if err != nil {
		f.t.Fatalf("Apply(%s): %v", change.ID, err)
	}
	return result
}

// mokaFiles returns the file of the organisation moka without its failure domains and
// with further replacements.
func mokaFiles(t testing.TB, replacements ...string) []configurer.File {
	return []configurer.File{file(t, "moka", append([]string{"\"curepipe\", \"phoenix\"", ""}, replacements...)...)}
}

func templatesChange(t testing.TB) configurer.Change {
	return configurer.Change{ID: "templates", Files: []configurer.File{file(t, "shop"), file(t, "sorting")}}
}

func TestApplyStates(t *testing.T) {
	f := twoDomains(t, fastClock(t, 10))
	if got := f.apply("c1", templatesChange(t)); got.State != configurer.StateAccepted || got.Revision != 1 {
		t.Fatalf("templates: %+v, want accepted at 1", got)
	}
	first := configurer.Change{ID: "first", Organisation: "moka", ReadRevision: 1, Files: mokaFiles(t)}
	if got := f.apply("c1", first); got.State != configurer.StateAccepted || got.Revision != 2 {
		t.Fatalf("first: %+v, want accepted at 2", got)
	}
	for _, vm := range []string{"c1", "p1"} {
		if got := f.process(vm).Current().Revision; got != 2 {
			t.Errorf("%s runs revision %d after acceptance of 2", vm, got)
		}
	}
	cases := map[string]struct {
		change configurer.Change
		want   configurer.State
	}{
		"repeated through another entry VM": {change: first, want: configurer.StateAccepted},
		"id of another change":              {change: configurer.Change{ID: "first", Organisation: "moka", ReadRevision: 1}, want: configurer.StateRejected},
		"no id":                             {change: configurer.Change{Organisation: "moka", ReadRevision: 2}, want: configurer.StateRejected},
		"older revision":                    {change: configurer.Change{ID: "a", Organisation: "moka", ReadRevision: 1, Files: mokaFiles(t, "65", "66")}, want: configurer.StateConflict},
		"another organisation":              {change: configurer.Change{ID: "b", Organisation: "stockwerk", ReadRevision: 2, Files: mokaFiles(t)}, want: configurer.StateRejected},
		"template by an organisation":       {change: configurer.Change{ID: "c", Organisation: "moka", ReadRevision: 2, Files: []configurer.File{file(t, "shop")}}, want: configurer.StateRejected},
		"template still in use":             {change: configurer.Change{ID: "d", ReadRevision: 2, RemovedTemplates: []string{"shop"}}, want: configurer.StateRejected},
		"file too long":                     {change: configurer.Change{ID: "h", Organisation: "moka", ReadRevision: 2, Files: mokaFiles(t, "// Roll", "// "+strings.Repeat("x", 1<<14))}, want: configurer.StateRejected},
		"one bad file of two":               {change: configurer.Change{ID: "e", ReadRevision: 2, Files: append(mokaFiles(t, "65", "66"), file(t, "shop", "service", "server"))}, want: configurer.StateRejected},
		"assignment out of range":           {change: configurer.Change{ID: "f", Organisation: "moka", ReadRevision: 2, Assignments: []configurer.Assignment{{Workload: "finishing", Parameter: "priority", Value: "101"}}}, want: configurer.StateRejected},
		"assignment to no workload":         {change: configurer.Change{ID: "g", Organisation: "moka", ReadRevision: 2, Assignments: []configurer.Assignment{{Workload: "no", Parameter: "priority", Value: "1"}}}, want: configurer.StateRejected},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := f.apply("p1", c.change)
			if got.State != c.want || (c.want == configurer.StateRejected && len(got.Faults) == 0) {
				t.Errorf("Apply: %+v, want %s", got, c.want)
			}
			if c.want == configurer.StateConflict && got.Revision != 2 {
				t.Errorf("conflict with revision %d, want 2", got.Revision)
			}
			if got := f.process("p1").Current().Revision; got != 2 {
				t.Errorf("revision %d in force, want 2 untouched", got)
			}
		})
	}
	last := configurer.Change{ID: "last", Organisation: "moka", ReadRevision: 2, Assignments: []configurer.Assignment{{Workload: "finishing", Parameter: "priority", Value: "7"}}}
	if got := f.apply("p1", last); got.State != configurer.StateAccepted || got.Revision != 3 {
		t.Fatalf("last: %+v, want accepted at 3", got)
	}
	if service, _ := f.process("c1").Current().Service("moka", "finishing"); service.Priority != 7 {
		t.Errorf("priority %d in force, want 7", service.Priority)
	}
}

// TestPendingUntilReleased checks that a change is not accepted while an entry VM does not
// confirm it, until an operator releases that VM.
func TestPendingUntilReleased(t *testing.T) {
	f := twoDomains(t, fastClock(t, 10))
	silent := f.process("p1")
	silent.kill()
	got := f.apply("c1", templatesChange(t))
	if got.State != configurer.StatePending || !slices.Equal(got.Pending, []string{"phoenix"}) {
		t.Fatalf("Apply: %+v, want pending in phoenix", got)
	}
	f.start("p2", "phoenix", noFaults)
	eventually(t, "p2 ready", f.process("p2").Ready)
	if got := f.apply("c1", templatesChange(t)); got.State != configurer.StatePending {
		t.Fatalf("Apply with p2: %+v, want pending for p1", got)
	}
	if err := f.process("c1").Release(t.Context(), "p1", "operator"); err != nil {
		t.Fatalf("Release: %v", err)
	}
	if got := f.apply("c1", templatesChange(t)); got.State != configurer.StateAccepted || got.Revision != 1 {
		t.Fatalf("Apply after release: %+v, want accepted", got)
	}
	var unknown *configurer.UnknownVMError
	if err := f.process("c1").Release(t.Context(), "p1", "operator"); !errors.As(err, &unknown) {
		t.Errorf("second Release: %v, want *UnknownVMError", err)
	}
}

// TestReleaseRefusesLiving checks that a VM whose process still renews its store lease
// cannot be released.
func TestReleaseRefusesLiving(t *testing.T) {
	f := twoDomains(t, fastClock(t, 10))
	p := f.process("p1")
	if _, err := p.store.Swap(t.Context(), keeper.AlivePrefix+p.Process, 0, []byte("{}"), 0); err != nil {
		t.Fatal(err)
	}
	var alive *configurer.AliveError
	if err := f.process("c1").Release(t.Context(), "p1", "operator"); !errors.As(err, &alive) {
		t.Errorf("Release: %v, want *AliveError", err)
	}
}

// TestReplaced checks that a process stops serving when another process has replaced it on
// its VM.
func TestReplaced(t *testing.T) {
	f := twoDomains(t, fastClock(t, 10))
	old := f.process("p1")
	thaw := old.store.freeze()
	f.start("p1", "phoenix", noFaults)
	eventually(t, "successor ready", f.process("p1").Ready)
	if got := f.apply("c1", templatesChange(t)); got.State == configurer.StateRejected {
		t.Fatalf("Apply: %+v", got)
	}
	thaw()
	eventually(t, "old not ready", func() bool { return !old.Ready() })
	var replaced *configurer.ReplacedError
	if err := <-old.done; !errors.As(err, &replaced) || replaced.Successor != f.process("p1").Process {
		t.Errorf("Run: %v, want *ReplacedError by the successor", err)
	}
}

// TestLeave checks that acceptance does not wait for a process that has left.
func TestLeave(t *testing.T) {
	f := twoDomains(t, fastClock(t, 10))
	f.start("p2", "phoenix", noFaults)
	eventually(t, "p2 ready", f.process("p2").Ready)
	leaving := f.process("p1")
	if err := leaving.Leave(t.Context()); err != nil {
		t.Fatalf("Leave: %v", err)
	}
	if leaving.Ready() {
		t.Error("ready after Leave")
	}
	leaving.kill()
	if got := f.apply("c1", templatesChange(t)); got.State != configurer.StateAccepted {
		t.Errorf("Apply: %+v, want accepted", got)
	}
}

// TestPermit checks that a process that starts while it cannot reach the store gets the
// configuration and a permit from a peer in its failure domain, that no change is
// accepted before this process runs it, and that the process is no longer ready after
// its last peer has stopped.
func TestPermit(t *testing.T) {
	f := twoDomains(t, fastClock(t, 10))
	if got := f.apply("c1", templatesChange(t)); got.State != configurer.StateAccepted {
		t.Fatalf("Apply: %+v", got)
	}
	cut := func(g *faultyStore) { g.cut = true }
	f.start("p2", "phoenix", cut)
	f.start("v1", "vacoas", cut)
	permitted := f.process("p2")
	eventually(t, "process with a permit ready", permitted.Ready)
	if got := permitted.Current().Revision; got != 1 {
		t.Errorf("process with a permit ready at revision %d, want 1", got)
	}
	if got := f.apply("c1", configurer.Change{ID: "second", ReadRevision: 1, Files: mokaFiles(t)}); got.State != configurer.StateAccepted {
		t.Fatalf("second: %+v", got)
	}
	if got := permitted.Current().Revision; got != 2 {
		t.Errorf("process with a permit at revision %d after acceptance of 2", got)
	}
	if f.process("v1").Ready() {
		t.Error("ready without the store and without a peer of its failure domain")
	}
	f.process("p1").kill()
	eventually(t, "process with an expired permit not ready", func() bool { return !permitted.Ready() })
}

// TestLostAnswers checks that a change is applied once if answers of the store are lost.
func TestLostAnswers(t *testing.T) {
	f := twoDomains(t, fastClock(t, 10))
	f.store.SetFaults(standin.StoreFaults{LoseEvery: 2})
	changes := []configurer.Change{templatesChange(t), {ID: "first", ReadRevision: 1, Files: mokaFiles(t)}}
	for i, change := range changes {
		for _, vm := range []string{"c1", "p1"} {
			if got := f.apply(vm, change); got.State != configurer.StateAccepted || got.Revision != int64(i+1) {
				t.Errorf("%s through %s: %+v, want accepted at %d", change.ID, vm, got, i+1)
			}
		}
	}
}

// TestSkippedWatch checks that a change comes into force even if the watch never delivers
// it.
func TestSkippedWatch(t *testing.T) {
	f := twoDomains(t, fastClock(t, 10))
	f.process("p1").store.set(func(g *faultyStore) { g.skipWatch = true })
	state := configurer.StatePending
	for range 20 {
		if state != configurer.StateAccepted {
			state = f.apply("c1", templatesChange(t)).State
		}
	}
	if got := f.process("p1").Current().Revision; state != configurer.StateAccepted || got != 1 {
		t.Errorf("%s with revision %d in force, want accepted with 1", state, got)
	}
}

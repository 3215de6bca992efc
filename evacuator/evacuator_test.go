package evacuator_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeromicro/go-zero/core/logx"

	"zinniashore.example/evacuator"
	"zinniashore.example/keeper"
	"zinniashore.example/recorder"
	"zinniashore.example/standin"
)

var testTime = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	logx.Disable()
	os.Exit(m.Run())
}

// process is an evacuator with its mirror, which runs once follow is called.
type process struct {
	*evacuator.Evacuator

	store    *standin.Store
	recorder *recorder.Recorder
}

func newProcess(t *testing.T) *process {
	t.Helper()
	store := &standin.Store{}
	address, err := standin.Listen(t.Context(), "127.0.0.1:0", store)
	if err != nil {
		t.Fatal(err)
	}
	client, clock := keeper.NewClient(address), clockwork.NewRealClock()
	r := &recorder.Recorder{Clock: clock, Process: "c1"}
	return &process{store: store, recorder: r, Evacuator: &evacuator.Evacuator{
		Keeper: &keeper.Keeper{Store: client, Clock: clock, Writer: "c1"},
		Mirror: &keeper.Mirror{Store: client, Clock: clock, Prefix: keeper.WatchedPrefix},
		Clock:  clockwork.NewFakeClockAt(testTime), Recorder: r, FailureDomains: []string{"graz-a", "graz-b"},
	}}
}

func (p *process) follow(t *testing.T) {
	p.Follow()
	go func() { _ = p.Mirror.Run(t.Context()) }()
}

// awaitState waits until the process knows that the failure domains are evacuated or not.
func (p *process) awaitState(t *testing.T, a, b bool) {
	t.Helper()
	want := fmt.Sprint(a, true, b, true)
	got := ""
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		evacuatedA, knownA := p.Evacuated("graz-a")
		evacuatedB, knownB := p.Evacuated("graz-b")
		if got = fmt.Sprint(evacuatedA, knownA, evacuatedB, knownB); got == want {
			return
		}
	}
	t.Fatalf("the process follows %s, want %s", got, want)
}

func (p *process) kinds() []recorder.Kind {
	var kinds []recorder.Kind
	for _, event := range p.recorder.Events() {
		kinds = append(kinds, event.Kind)
	}
	return kinds
}

// TestOverlappingEvacuations guards against the end of one evacuation that ends another
// one, and against repeated calls that change or record anything.
func TestOverlappingEvacuations(t *testing.T) {
	p := newProcess(t)
	p.follow(t)
	p.awaitState(t, false, false)
	for _, domain := range []string{"graz-a", "graz-a", "graz-b"} {
		if e, err := p.Begin(t.Context(), domain, "ada"); err != nil || e != (evacuator.Evacuation{FailureDomain: domain, Operator: "ada", Since: testTime}) {
			t.Fatalf("Begin(%s): %+v, %v", domain, e, err)
		}
	}
	p.awaitState(t, true, true)
	if e, err := p.Begin(t.Context(), "graz-a", "grace"); err != nil || e.Operator != "ada" {
		t.Errorf("a second Begin: %+v, %v, want the evacuation that is in force", e, err)
	}
	for range 2 {
		if err := p.End(t.Context(), "graz-a", "grace"); err != nil {
			t.Fatal(err)
		}
	}
	p.awaitState(t, false, true)
	want := []recorder.Kind{evacuator.EventBegun, evacuator.EventBegun, evacuator.EventEnded}
	if got := p.kinds(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("events %v, want %v", got, want)
	}
}

// TestUnknownDomain guards against a record for a failure domain that does not exist.
func TestUnknownDomain(t *testing.T) {
	p := newProcess(t)
	var unknown *evacuator.UnknownDomainError
	if _, err := p.Begin(t.Context(), "graz-z", "ada"); !errors.As(err, &unknown) || unknown.FailureDomain != "graz-z" {
		t.Errorf("Begin: %v, want an *UnknownDomainError", err)
	}
	if err := p.End(t.Context(), "graz-z", "ada"); !errors.As(err, &unknown) {
		t.Errorf("End: %v, want an *UnknownDomainError", err)
	}
}

// TestEvacuationsWithoutStore guards against a restarted process that takes a failure
// domain for open before it has read the store, and against a process that forgets what
// it knows while the store is unavailable.
func TestEvacuationsWithoutStore(t *testing.T) {
	p := newProcess(t)
	if _, err := p.Begin(t.Context(), "graz-a", "ada"); err != nil {
		t.Fatal(err)
	}
	p.store.SetFaults(standin.StoreFaults{Outage: true})
	p.follow(t)
	if _, known := p.Evacuated("graz-a"); known {
		t.Error("the evacuations are known before the mirror was read")
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if evacuations, err := p.List(ctx); err == nil {
		t.Errorf("List without the store: %v, want an error", evacuations)
	}
	p.store.SetFaults(standin.StoreFaults{})
	p.awaitState(t, true, false)
	p.store.SetFaults(standin.StoreFaults{Outage: true})
	if evacuations, err := p.List(ctx); err != nil || len(evacuations) != 1 || evacuations[0].Operator != "ada" {
		t.Errorf("List while the store is unavailable: %v, %v, want that of graz-a", evacuations, err)
	}
	p.awaitState(t, true, false)
}

// TestUnreadableEvacuation guards against tasks that start because a record was written
// by another version.
func TestUnreadableEvacuation(t *testing.T) {
	values := map[string]string{
		"other format of the evacuation": `{"format":1,"writers":[],"body":{"format":2}}`,
		"other format of the document":   `{"format":9}`,
		"no document":                    `{}`,
	}
	for name, value := range values {
		t.Run(name, func(t *testing.T) {
			p := newProcess(t)
			if _, err := p.Keeper.Store.Swap(t.Context(), evacuator.Prefix+"graz-b", 0, []byte(value), 0); err != nil {
				t.Fatal(err)
			}
			p.follow(t)
			p.awaitState(t, false, true)
			evacuations, err := p.List(t.Context())
			if err != nil || len(evacuations) != 1 || evacuations[0].FailureDomain != "graz-b" {
				t.Errorf("List: %v, %v, want graz-b", evacuations, err)
			}
		})
	}
}

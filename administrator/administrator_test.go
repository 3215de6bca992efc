package administrator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sebdah/goldie/v2"
	"github.com/uber-go/tally/v4"
	"github.com/zeromicro/go-zero/rest"

	"zinniashore.example/administrator"
	"zinniashore.example/configurer"
	"zinniashore.example/evacuator"
	"zinniashore.example/keeper"
	"zinniashore.example/placer"
	"zinniashore.example/recorder"
	"zinniashore.example/standin"
	"zinniashore.example/submitter"
)

const (
	operatorSecret  = "operator-secret"
	mokaSecret      = "moka-secret"
	stockwerkSecret = "stockwerk-secret"
)

var testTime = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// reporter returns a fixed report.
type reporter struct{}

func (reporter) Report(_ context.Context, organisation string) administrator.Report {
	report := administrator.Report{
		Running:     []administrator.Running{{Organisation: "moka", Task: "finishing-0", Template: "shop", Worker: "w1", FailureDomain: "curepipe", Attempt: 1, State: "running"}},
		Waiting:     []administrator.Waiting{{Organisation: "stockwerk", Task: "fitting-0", Reason: placer.ReasonNever, Detail: "needs 70 processors, the largest worker has 64"}},
		Uses:        []administrator.Use{{Organisation: "moka", Used: placer.Size{Processors: 500, Memory: 1e9}}},
		Quarantined: []administrator.Quarantine{{Worker: "w2", FailureDomain: "curepipe", Since: testTime, Reason: "3 distinct tasks failed"}},
		Leases:      []administrator.Lease{{Name: "cell curepipe-0", Holder: "c1", Remaining: 1500 * time.Millisecond}},
		CutOff:      []administrator.CutOff{{FailureDomain: "phoenix", SeenBy: "c1", Since: testTime}},
	}
	if organisation == "moka" {
		report.Waiting = nil
	}
	return report
}

type cells struct{}

func (cells) Choose(submitter.Job) (string, error) { return "curepipe-0", nil }

type unreachablePeer struct{}

func (unreachablePeer) Peers() []administrator.Peer { return []administrator.Peer{{VM: "c2"}} }

// system is one entry VM that serves its API on a loopback address.
type system struct {
	store   *standin.Store
	address string
}

func newSystem(t testing.TB, operators ...administrator.Token) *system {
	store := &standin.Store{}
	storeAddress, err := standin.Listen(t.Context(), "127.0.0.1:0", store)
	if err != nil {
		t.Fatal(err)
	}
	clock := clockwork.NewRealClock()
	client := keeper.NewClient(storeAddress)
	mirror := &keeper.Mirror{Store: client, Clock: clock, Prefix: keeper.WatchedPrefix}
	k := &keeper.Keeper{Store: client, Clock: clock, Writer: "c1-1"}
	r := &recorder.Recorder{Clock: clockwork.NewFakeClockAt(testTime), Process: "c1-1", FailureDomain: "curepipe"}
	c := &configurer.Configurer{
		Clock: clock, Keeper: k, Mirror: mirror, Recorder: r, Metrics: tally.NoopScope,
		Process: "c1-1", VM: "c1", FailureDomain: "curepipe", FailureDomains: []string{"curepipe"},
	}
	fixed := clockwork.NewFakeClockAt(testTime)
	e := &evacuator.Evacuator{Keeper: k, Mirror: mirror, Clock: fixed, Recorder: r, FailureDomains: []string{"curepipe", "phoenix"}}
	c.Follow()
	e.Follow()
	ctx := t.Context()
	go func() { _ = mirror.Run(ctx) }()
	go func() { _ = c.Run(ctx) }()
	a := &administrator.Administrator{
		Clock: fixed, Configurer: c, Submitter: &submitter.Submitter{Keeper: k, Clock: fixed}, Cells: cells{}, Evacuator: e,
		Status: reporter{}, TimeLine: &recorder.Collector{Recorder: r}, Peers: unreachablePeer{}, FailureDomains: []string{"curepipe"},
		Tokens: administrator.Tokens{
			Operators:     append(operators, administrator.Token{Name: "ada", Secret: operatorSecret}),
			Organisations: []administrator.Token{{Name: "moka", Secret: mokaSecret}, {Name: "stockwerk", Secret: stockwerkSecret}},
		},
	}
	return &system{store: store, address: listen(t, a.Routes())}
}

func listen(t testing.TB, routes []rest.Route) string {
	server, err := rest.NewServer(rest.RestConf{})
	if err != nil {
		t.Fatal(err)
	}
	server.AddRoutes(routes)
	handler, err := rest.NewServerless(server)
	if err != nil {
		t.Fatal(err)
	}
	listener := httptest.NewServer(http.HandlerFunc(handler.Serve))
	t.Cleanup(listener.Close)
	return strings.TrimPrefix(listener.URL, "http://")
}

func (s *system) client(secret administrator.Secret) *administrator.Client {
	return administrator.NewClient(s.address, secret)
}

// send sends a raw HTTP request and returns the status code and the body.
func (s *system) send(t testing.TB, secret, method, path string, body []byte) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+s.address+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if secret != "" {
		request.Header.Set("Authorization", "Bearer "+secret)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(content)
}

func fileMessage(t testing.TB, name string, replacements ...string) administrator.FileMessage {
	content, err := os.ReadFile("../configurer/testdata/" + name + ".json")
	if err != nil {
		t.Fatal(err)
	}
	replacements = append([]string{`"curepipe", "phoenix"`, ""}, replacements...)
	return administrator.FileMessage{Name: name + ".json", Content: strings.NewReplacer(replacements...).Replace(string(content))}
}

// prepare applies the templates and the parameter values of moka.
func (s *system) prepare(t testing.TB) {
	t.Helper()
	change := administrator.ChangeMessage{ID: "prepare", Files: []administrator.FileMessage{fileMessage(t, "shop"), fileMessage(t, "sorting"), fileMessage(t, "moka")}}
	result, err := s.client(operatorSecret).Change(t.Context(), change)
	if err != nil || result.State != configurer.StateAccepted {
		t.Fatalf("Change: %+v, %v, want accepted", result, err)
	}
}

// TestCalls compares the answers of all calls with the golden file and checks that
// docs/ADMIN.md shows the same answers.
func TestCalls(t *testing.T) {
	s := newSystem(t)
	s.prepare(t)
	calls := []struct {
		secret, method, path, body string
	}{
		{operatorSecret, "POST", "/v1/admin/changes", `{"id": "7f1c", "organisation": "moka", "read_revision": 1, "dry_run": true, "assignments": [{"workload": "finishing", "parameter": "instances", "value": 70}]}`},
		{operatorSecret, "POST", "/v1/admin/changes", `{"id": "7f1c", "organisation": "moka", "read_revision": 1, "assignments": [{"workload": "finishing", "parameter": "instances", "value": 70}]}`},
		{operatorSecret, "GET", "/v1/admin/changes/7f1c", ""},
		{operatorSecret, "GET", "/v1/admin/changes/none", ""},
		{mokaSecret, "POST", "/v1/admin/changes", `{"id": "7f1d", "read_revision": 1, "assignments": [{"workload": "finishing", "parameter": "instances", "value": 71}]}`},
		{mokaSecret, "POST", "/v1/admin/changes", `{"id": "7f1e", "read_revision": 2, "assignments": [{"workload": "finishing", "parameter": "instances", "value": 700}]}`},
		{operatorSecret, "GET", "/v1/admin/configuration?organisation=moka", ""},
		{mokaSecret, "POST", "/v1/admin/jobs", `{"organisation": "moka", "name": "rolls-1204", "workload": "night", "tasks": 40}`},
		{mokaSecret, "POST", "/v1/admin/jobs", `{"organisation": "moka", "name": "rolls-1204", "workload": "night", "tasks": 41}`},
		{mokaSecret, "POST", "/v1/admin/jobs", `{"organisation": "moka", "name": "rolls-1205", "workload": "finishing", "tasks": 1}`},
		{mokaSecret, "GET", "/v1/admin/jobs", ""},
		{mokaSecret, "GET", "/v1/admin/jobs/moka/rolls-1204", ""},
		{mokaSecret, "POST", "/v1/admin/jobs/moka/rolls-1204/cancel", ""},
		{mokaSecret, "POST", "/v1/admin/jobs/moka/none/cancel", ""},
		{operatorSecret, "POST", "/v1/admin/failure_domains/phoenix/evacuate", ""},
		{operatorSecret, "POST", "/v1/admin/failure_domains/none/evacuate", ""},
		{operatorSecret, "GET", "/v1/admin/status", ""},
		{operatorSecret, "POST", "/v1/admin/failure_domains/phoenix/take_back", ""},
		{operatorSecret, "GET", "/v1/admin/timeline?task=rolls-1204-0&limit=10", ""},
		{operatorSecret, "GET", "/v1/admin/timeline?limit=x", ""},
		{operatorSecret, "POST", "/v1/admin/vms/c9/release", ""},
	}
	page, err := os.ReadFile("../docs/ADMIN.md")
	if err != nil {
		t.Fatal(err)
	}
	var transcript strings.Builder
	for _, call := range calls {
		code, answer := s.send(t, call.secret, call.method, call.path, []byte(call.body))
		var indented bytes.Buffer
		if err := json.Indent(&indented, []byte(answer), "", "  "); err != nil {
			t.Fatalf("%s %s: %v in %q", call.method, call.path, err, answer)
		}
		if example := strings.ReplaceAll(strings.TrimSpace(indented.String()), "\n", "\n    "); !strings.Contains(string(page), example) {
			t.Errorf("docs/ADMIN.md does not show the answer to %s %s", call.method, call.path)
		}
		fmt.Fprintf(&transcript, "%s %s\n%s\n\n%d\n%s\n\n", call.method, call.path, call.body, code, indented.String())
	}
	goldie.New(t).Assert(t, "calls", []byte(transcript.String()))
}

func TestTokens(t *testing.T) {
	s := newSystem(t)
	s.prepare(t)
	raise, err := json.Marshal(administrator.ChangeMessage{ID: "raise", ReadRevision: 1, Files: []administrator.FileMessage{fileMessage(t, "moka", "1500GB", "1600GB")}})
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		secret, method, path, body string
		want                       int
	}{
		"no token":                       {method: "GET", path: "/v1/admin/status", want: 401},
		"unknown token":                  {secret: "operator-secre", method: "GET", path: "/v1/admin/status", want: 401},
		"change of another organisation": {secret: stockwerkSecret, method: "POST", path: "/v1/admin/changes", body: `{"id": "x", "organisation": "moka", "read_revision": 9}`, want: 403},
		"file of another organisation":   {secret: stockwerkSecret, method: "POST", path: "/v1/admin/changes", body: `{"id": "x", "read_revision": 9, "files": [{"name": "f", "content": "{\"organisation\": \"moka\"}"}]}`, want: 422},
		"template by an organisation":    {secret: stockwerkSecret, method: "POST", path: "/v1/admin/changes", body: `{"id": "x", "read_revision": 9, "removed_templates": ["shop"]}`, want: 422},
		"removal of another":             {secret: stockwerkSecret, method: "POST", path: "/v1/admin/changes", body: `{"id": "x", "read_revision": 9, "removed_organisations": ["moka"]}`, want: 422},
		"own quota":                      {secret: mokaSecret, method: "POST", path: "/v1/admin/changes", body: string(raise), want: 422},
		"job of another":                 {secret: stockwerkSecret, method: "POST", path: "/v1/admin/jobs", body: `{"organisation": "moka", "name": "n", "workload": "night", "tasks": 1}`, want: 403},
		"cancellation of another":        {secret: stockwerkSecret, method: "POST", path: "/v1/admin/jobs/moka/n/cancel", want: 403},
		"look at a job of another":       {secret: stockwerkSecret, method: "GET", path: "/v1/admin/jobs/moka/n", want: 403},
		"release by an organisation":     {secret: mokaSecret, method: "POST", path: "/v1/admin/vms/c1/release", want: 403},
		"evacuation by an organisation":  {secret: mokaSecret, method: "POST", path: "/v1/admin/failure_domains/curepipe/evacuate", want: 403},
		"its end by an organisation":     {secret: mokaSecret, method: "POST", path: "/v1/admin/failure_domains/curepipe/take_back", want: 403},
		"unknown field":                  {secret: operatorSecret, method: "POST", path: "/v1/admin/changes", body: `{"id": "x", "force": true}`, want: 400},
		"two bodies":                     {secret: operatorSecret, method: "POST", path: "/v1/admin/changes", body: `{"id": "x"}{}`, want: 400},
		"body too large":                 {secret: operatorSecret, method: "POST", path: "/v1/admin/changes", body: `{"id": "` + strings.Repeat("x", 1<<20) + `"}`, want: 413},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			code, answer := s.send(t, c.secret, c.method, c.path, []byte(c.body))
			if code != c.want {
				t.Errorf("%s %s: %d %s, want %d", c.method, c.path, code, answer, c.want)
			}
			if strings.Contains(answer, "secre") {
				t.Errorf("answer shows a token: %s", answer)
			}
		})
	}
	for path, want := range map[string]string{"/v1/admin/configuration": `"organisations":[]`, "/v1/admin/jobs": `"jobs":[]`, "/v1/admin/timeline?organisation=moka": `"events":[]`} {
		if _, answer := s.send(t, stockwerkSecret, "GET", path, nil); !strings.Contains(answer, want) {
			t.Errorf("%s shows stockwerk what belongs to moka: %s", path, answer)
		}
	}
	if text := fmt.Sprintf("%v %+v %#v", administrator.Tokens{Operators: []administrator.Token{{Secret: operatorSecret}}}, administrator.Secret(operatorSecret), administrator.Secret(operatorSecret)); strings.Contains(text, operatorSecret) {
		t.Errorf("formatted token shows: %s", text)
	}
}

// TestRate checks that calls beyond the burst of a principal are refused, and that those
// of another principal are not.
func TestRate(t *testing.T) {
	s := newSystem(t)
	refused := 0
	for range 60 {
		if code, _ := s.send(t, mokaSecret, "GET", "/v1/admin/configuration", nil); code == http.StatusTooManyRequests {
			refused++
		}
	}
	if refused == 0 {
		t.Error("all of 60 successive calls were answered, want some refused")
	}
	if code, _ := s.send(t, stockwerkSecret, "GET", "/v1/admin/configuration", nil); code != http.StatusOK {
		t.Errorf("another organisation is refused with %d", code)
	}
}

// TestClient checks that the client distinguishes calls that certainly had no effect from
// calls that must be repeated because the answer was lost.
func TestClient(t *testing.T) {
	s := newSystem(t)
	s.prepare(t)
	change := administrator.ChangeMessage{ID: "second", Organisation: "moka", ReadRevision: 1, Assignments: []administrator.AssignmentMessage{{Workload: "finishing", Parameter: "instances", Value: json.RawMessage("9")}}}
	cases := map[string]struct {
		faults  standin.StoreFaults
		client  *administrator.Client
		notDone bool
	}{
		"store outage":  {faults: standin.StoreFaults{Outage: true}, client: s.client(operatorSecret), notDone: true},
		"unknown token": {client: s.client("x"), notDone: true},
		"no server":     {client: administrator.NewClient("127.0.0.1:1", operatorSecret), notDone: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s.store.SetFaults(c.faults)
			defer s.store.SetFaults(standin.StoreFaults{})
			_, err := c.client.Change(t.Context(), change)
			var refused *administrator.CallError
			if !errors.As(err, &refused) || refused.NotDone != c.notDone {
				t.Errorf("Change: %v, want a *CallError with NotDone %t", err, c.notDone)
			}
		})
	}
	s.store.SetFaults(standin.StoreFaults{LoseAnswers: 1})
	for range 2 {
		result, err := s.client(operatorSecret).Change(t.Context(), change)
		if err != nil || result.State != configurer.StateAccepted || result.Revision != 2 {
			t.Errorf("Change with a lost answer: %+v, %v, want accepted at 2", result, err)
		}
	}
}

// TestEvacuate checks that the client's calls evacuate a failure domain and take it back
// once each even if answers are lost or calls repeated, and that the status and the time
// line show it.
func TestEvacuate(t *testing.T) {
	s := newSystem(t)
	client := s.client(operatorSecret)
	s.store.SetFaults(standin.StoreFaults{Outage: true})
	_, err := client.Evacuate(t.Context(), "phoenix")
	var refused *administrator.CallError
	if !errors.As(err, &refused) || refused.Code != administrator.CodeUnavailable || !refused.NotDone {
		t.Errorf("Evacuate during an outage of the store: %v, want unavailable and not done", err)
	}
	s.store.SetFaults(standin.StoreFaults{LoseAnswers: 1})
	for range 2 {
		m, err := client.Evacuate(t.Context(), "phoenix")
		if err != nil || m != (administrator.EvacuationMessage{FailureDomain: "phoenix", Evacuated: true, Since: testTime, Operator: "ada"}) {
			t.Errorf("Evacuate: %+v, %v", m, err)
		}
	}
	if _, err := client.Evacuate(t.Context(), "curepipe"); err != nil {
		t.Fatal(err)
	}
	status, err := client.Status(t.Context(), "")
	if err != nil || len(status.Evacuations) != 2 || status.Evacuations[0].FailureDomain != "curepipe" || status.Evacuations[1].FailureDomain != "phoenix" {
		t.Errorf("Status: %+v, %v, want both failure domains evacuated", status.Evacuations, err)
	}
	for range 2 {
		if m, err := client.TakeBack(t.Context(), "curepipe"); err != nil || m.Evacuated {
			t.Errorf("TakeBack: %+v, %v", m, err)
		}
	}
	status, err = client.Status(t.Context(), "")
	if err != nil || len(status.Evacuations) != 1 || status.Evacuations[0].FailureDomain != "phoenix" {
		t.Errorf("Status: %+v, %v, want phoenix evacuated", status.Evacuations, err)
	}
	for kind, want := range map[recorder.Kind]int{evacuator.EventBegun: 2, evacuator.EventEnded: 1} {
		line, err := client.TimeLine(t.Context(), recorder.Filter{Kind: kind})
		if err != nil || len(line.Events) != want {
			t.Errorf("time line of %s: %v, %v, want %d events", kind, line.Events, err, want)
		}
	}
}

// fuzzOperators is high enough that the rate limits of the operators, which take turns,
// do not slow down a fuzzing run.
const fuzzOperators = 500

// FuzzBody checks that any request body receives a JSON answer and never an internal
// server error.
func FuzzBody(f *testing.F) {
	var operators []administrator.Token
	for i := range fuzzOperators {
		operators = append(operators, administrator.Token{Name: fmt.Sprint(i), Secret: administrator.Secret(fmt.Sprint(operatorSecret, i))})
	}
	s := newSystem(f, operators...)
	calls := 0
	f.Add([]byte(`{"id": "a", "read_revision": 1, "dry_run": true, "files": [{"name": "f", "content": "{}"}]}`))
	f.Add([]byte(`{"id": "a", "organisation": "moka", "dry_run": true, "assignments": [{"workload": "w", "parameter": "p", "value": [1]}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		calls++
		code, answer := s.send(t, fmt.Sprint(operatorSecret, calls%fuzzOperators), "POST", "/v1/admin/changes", body)
		if code == http.StatusInternalServerError || !json.Valid([]byte(answer)) {
			t.Fatalf("%d %s", code, answer)
		}
	})
}

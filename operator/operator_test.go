package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/sebdah/goldie/v2"

	"zinniashore.example/administrator"
	"zinniashore.example/operator"
)

// commands holds the subcommands for operators.
type commands struct {
	Apply    *operator.ApplyCommand    `arg:"subcommand:apply"`
	Get      *operator.GetCommand      `arg:"subcommand:get"`
	Submit   *operator.SubmitCommand   `arg:"subcommand:submit"`
	Cancel   *operator.CancelCommand   `arg:"subcommand:cancel"`
	Status   *operator.StatusCommand   `arg:"subcommand:status"`
	Timeline *operator.TimelineCommand `arg:"subcommand:timeline"`
	Release  *operator.ReleaseCommand  `arg:"subcommand:release"`
	Evacuate *operator.EvacuateCommand `arg:"subcommand:evacuate"`
}

type command interface {
	Run(ctx context.Context, out io.Writer) (operator.ExitStatus, error)
}

// run runs a command line and returns its output, exit status and error.
func run(t *testing.T, line ...string) (string, operator.ExitStatus, error) {
	t.Helper()
	parser, err := arg.NewParser(arg.Config{IgnoreEnv: true}, &commands{})
	if err != nil {
		t.Fatal(err)
	}
	if err := parser.Parse(line); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	status, err := parser.Subcommand().(command).Run(t.Context(), &out)
	return out.String(), status, err
}

// server answers each path with a fixed status code and body, after it has dropped the
// connections of the first loseAnswers requests.
type server struct {
	answers     map[string]string
	codes       map[string]int
	loseAnswers int

	mu     sync.Mutex
	bodies []string
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.bodies = append(s.bodies, string(body))
	lost := s.loseAnswers > 0
	s.loseAnswers--
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	path := strings.TrimPrefix(r.URL.Path, "/v1/admin")
	if code := s.codes[path]; code != 0 {
		w.WriteHeader(code)
	}
	_, _ = io.WriteString(w, s.answers[path])
}

func (s *server) received() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bodies
}

func listen(t *testing.T, s *server) string {
	listener := httptest.NewServer(s)
	t.Cleanup(listener.Close)
	return strings.TrimPrefix(listener.URL, "http://")
}

const configuration = `{"revision": 7, "templates": [{"name": "shop", "revision": 1, "content": "{\"template\": \"shop\"}\n"}], "organisations": [{"name": "moka", "revision": 7, "content": "{\"organisation\": \"moka\"}\n"}]}`

// outputs are command lines with the answer of the server and the expected exit status.
var outputs = map[string]struct {
	line    string
	path    string
	code    int
	answer  string
	want    operator.ExitStatus
	failure bool
}{
	"apply_accepted":  {line: "apply --set finishing.priority=7 --organisation moka --id a", path: "/changes", answer: `{"id": "a", "state": "accepted", "revision": 8}`},
	"apply_pending":   {line: "apply --set finishing.priority=7 --organisation moka --id a", path: "/changes", code: 202, answer: `{"id": "a", "state": "pending", "revision": 8, "pending": ["phoenix", "vacoas"]}`, want: operator.ExitPending},
	"apply_conflict":  {line: "apply --set finishing.priority=7 --organisation moka --id a --revision 6", path: "/changes", code: 409, answer: `{"id": "a", "state": "conflict", "revision": 7}`, want: operator.ExitConflict},
	"apply_rejected":  {line: "apply --set finishing.instances=700 --organisation moka --id a", path: "/changes", code: 422, answer: `{"id": "a", "state": "rejected", "revision": 7, "faults": [{"organisation": "moka", "workload": "finishing", "parameter": "instances", "value": "700", "problem": "is out of range", "allowed": "a whole number from 1 to 200", "file": "moka", "line": 6, "column": 69}]}`, want: operator.ExitFailed},
	"apply_dry_run":   {line: "apply --dry-run --set finishing.instances=70 --organisation moka --id a", path: "/changes", answer: `{"id": "a", "state": "valid", "revision": 8, "dry_run": true, "steps": [{"kind": "start", "organisation": "moka", "workload": "finishing", "instances": 5, "detail": "from 65 to 70 instances"}, {"kind": "update", "organisation": "moka", "detail": "quota changes"}]}`},
	"apply_nothing":   {line: "apply", want: operator.ExitUsage, failure: true},
	"apply_bad_set":   {line: "apply --set finishing=7", want: operator.ExitUsage, failure: true},
	"apply_no_file":   {line: "apply none.json", want: operator.ExitUsage, failure: true},
	"get":             {line: "get"},
	"get_change":      {line: "get --change a", path: "/changes/a", code: 202, answer: `{"id": "a", "state": "pending", "revision": 8, "pending": ["phoenix"]}`, want: operator.ExitPending},
	"get_unknown":     {line: "get --change b", path: "/changes/b", code: 404, answer: `{"code": "not_found", "message": "no recent change with this id", "not_done": true}`, want: operator.ExitFailed, failure: true},
	"get_jobs":        {line: "get --jobs", path: "/jobs", answer: `{"jobs": [{"organisation": "moka", "name": "rolls", "cell": "curepipe-0", "tasks": 40, "state": "running", "done_tasks": 3, "failed_tasks": 1, "cancelled": true, "reason": "waits for room"}]}`},
	"submit":          {line: "submit --organisation moka --workload night --tasks 40 rolls", path: "/jobs", answer: `{"organisation": "moka", "name": "rolls", "cell": "curepipe-0", "tasks": 40, "state": "accepted"}`},
	"submit_conflict": {line: "submit --organisation moka --workload night --tasks 41 rolls", path: "/jobs", code: 409, answer: `{"code": "conflict", "message": "job: moka/rolls exists with other content", "not_done": true}`, want: operator.ExitConflict, failure: true},
	"cancel":          {line: "cancel --organisation moka rolls", path: "/jobs/moka/rolls/cancel", answer: `{"organisation": "moka", "name": "rolls", "cell": "curepipe-0", "tasks": 40, "state": "accepted", "cancelled": true}`},
	"status":          {line: "status", path: "/status", answer: `{"running": [{"organisation": "moka", "task": "finishing-0", "worker": "w1", "failure_domain": "curepipe", "attempt": 1, "state": "running"}], "waiting": [{"organisation": "stockwerk", "task": "fitting-0", "reason": "never", "detail": "needs 70 processors, the largest worker has 64"}], "revisions": [{"failure_domain": "phoenix", "least": 7, "behind": ["p1"], "vms": 2}], "quotas": [{"organisation": "moka", "limit": {"processors": 400, "memory_bytes": 9, "accelerators": 1}, "used": {"processors": 0.5, "memory_bytes": 3, "accelerators": 0}}], "quarantined": [{"worker": "w2", "failure_domain": "curepipe", "since": "2026-12-04T12:00:00Z", "reason": "3 distinct tasks failed"}], "leases": [{"name": "cell curepipe-0", "holder": "c1", "remaining": "1.5s"}], "cut_off": [{"failure_domain": "phoenix", "seen_by": "c1", "since": "2026-12-04T12:00:00Z"}], "evacuations": [{"failure_domain": "phoenix", "evacuated": true, "since": "2026-12-04T12:00:00Z", "operator": "ada"}], "unreached": ["p1"]}`},
	"status_json":     {line: "status --json", path: "/status", answer: `{"unreached": ["p1"]}`},
	"timeline":        {line: "timeline --task fit-1", path: "/timeline", answer: `{"format": 1, "unreached": ["p1"], "events": [{"wall": 1796371205000000000, "counter": 2, "process": "c1-1", "failure_domain": "curepipe", "kind": "started", "task": "fit-1", "attempt": 2, "detail": "by plan"}]}`},
	"timeline_json":   {line: "timeline --json", path: "/timeline", answer: `{"format": 1, "unreached": [], "events": [{"wall": 5, "counter": 2, "process": "c1-1", "kind": "started"}]}`},
	"evacuate":        {line: "evacuate --failure-domain graz-a", path: "/failure_domains/graz-a/evacuate", answer: `{"failure_domain": "graz-a", "evacuated": true, "since": "2026-12-04T12:00:00Z", "operator": "ada"}`},
	"evacuate_end":    {line: "evacuate --failure-domain graz-a --end", path: "/failure_domains/graz-a/take_back", answer: `{"failure_domain": "graz-a", "evacuated": false}`},
	"evacuate_none":   {line: "evacuate --failure-domain graz-z", path: "/failure_domains/graz-z/evacuate", code: 404, answer: `{"code": "not_found", "message": "evacuation: no failure domain \"graz-z\"", "not_done": true}`, want: operator.ExitFailed, failure: true},
	"release":         {line: "release p1", path: "/vms/p1/release", answer: `{"vm": "p1"}`},
	"release_alive":   {line: "release p1", path: "/vms/p1/release", code: 409, answer: `{"code": "conflict", "message": "process p1-1 on VM p1 is alive", "not_done": true}`, want: operator.ExitConflict, failure: true},
}

func TestOutputs(t *testing.T) {
	for name, c := range outputs {
		t.Run(name, func(t *testing.T) {
			s := &server{answers: map[string]string{"/configuration": configuration, c.path: c.answer}, codes: map[string]int{c.path: c.code}}
			words := strings.Fields(c.line)
			line := append([]string{words[0], "--server", listen(t, s), "--token", "x"}, words[1:]...)
			out, status, err := run(t, line...)
			if status != c.want || (err != nil) != c.failure {
				t.Fatalf("%s: status %d, %v, want status %d", c.line, status, err, c.want)
			}
			if c.failure {
				out = err.Error() + "\n"
			}
			goldie.New(t).Assert(t, name, []byte(out))
		})
	}
}

// TestApplyRepeats checks that a change whose answer is lost is sent again to the next
// entry VM with the same content and id.
func TestApplyRepeats(t *testing.T) {
	file := filepath.Join(t.TempDir(), "moka.json")
	if err := os.WriteFile(file, []byte(`{"organisation": "moka"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	answers := map[string]string{"/changes": `{"id": "any", "state": "accepted", "revision": 8}`}
	losing := &server{answers: answers, loseAnswers: 1}
	answering := &server{answers: answers}
	_, status, err := run(t, "apply", "--server", listen(t, losing), "--server", listen(t, answering), "--token-file", token, "--revision", "7", file)
	if status != operator.ExitDone || err != nil {
		t.Fatalf("apply: status %d, %v, want done", status, err)
	}
	first, second := losing.received(), answering.received()
	if len(first) != 1 || len(second) != 1 || first[0] != second[0] {
		t.Fatalf("sent %q and then %q, want the same once each", first, second)
	}
	var change administrator.ChangeMessage
	if err := json.Unmarshal([]byte(first[0]), &change); err != nil || change.ID == "" || change.ReadRevision != 7 {
		t.Errorf("sent %+v, %v, want an id and revision 7", change, err)
	}
}

// TestApplyWaits checks that apply --wait polls a pending change until it is accepted.
func TestApplyWaits(t *testing.T) {
	s := &server{
		answers: map[string]string{"/changes": `{"id": "a", "state": "pending", "revision": 8, "pending": ["phoenix"]}`, "/changes/a": `{"id": "a", "state": "accepted", "revision": 8}`},
		codes:   map[string]int{"/changes": 202},
	}
	_, status, err := run(t, "apply", "--server", listen(t, s), "--token", "x", "--revision", "7", "--wait", time.Minute.String(), "--id", "a", "--set", "finishing.priority=7")
	if status != operator.ExitDone || err != nil {
		t.Errorf("apply: status %d, %v, want done", status, err)
	}
}

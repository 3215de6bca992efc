package main

import (
	"bytes"
	"encoding/json"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"zinniashore.example/platform"
)

const (
	// waitLogCell is the cell of the deployment.
	waitLogCell = "graz-a"
	// waitLogJob is a job with long-running tasks that only workers with leavingLabel run.
	waitLogJob   = "ff000000000000b1"
	waitLogTasks = `{"spec":"watch","phases":[{"count":3,"cpu":1000,"mem-mb":100,"long-running":true,"requirements":"` + leavingLabel + `"}]}`
	// waitLogPause is how long a holder is left to report that tasks wait.
	waitLogPause = 3 * time.Second
)

// holder returns the process that is registered as the holder of the cell, other than one that is gone.
func (d *platformDeployment) holder(gone string) string {
	d.t.Helper()
	store, name := platform.NewStore(d.storeAddress), ""
	d.await("a holder", func() bool {
		item, err := store.Get(d.t.Context(), "zinniashore/holders/"+waitLogCell)
		var holder struct {
			Process string `json:"process"`
		}
		if err != nil || json.Unmarshal(item.Value, &holder) != nil {
			return false
		}
		name = holder.Process
		return name != "" && name != gone
	})
	return name
}

// endedHolder is a process that has held the cell.
type endedHolder struct {
	name string
	log  string
}

// endHolder ends the holder by a signal and returns its log.
func (d *platformDeployment) endHolder(name string, signal syscall.Signal) endedHolder {
	log := d.processes[name].Stdout.(*bytes.Buffer)
	d.end(name, signal)
	return endedHolder{name: name, log: log.String()}
}

// waitLogHolders are what the logs of three holders in turn have to tell: the first one is stopped, the second one killed.
var waitLogHolders = [...][]string{
	{
		`kind="job_added" job="` + waitLogJob + `"`, `detail="orders, `,
		`kind="task_start" job="` + waitLogJob + `" task="` + waitLogJob + `.0.0.2"`,
		`kind="task_lost" job="` + waitLogJob + `" task="` + waitLogJob + `.0.0.2"`,
		`kind="tasks_wait_capacity" job="` + waitLogJob + `"`,
		`(long-running: ` + waitLogJob + `.0.0.0-2, of which ` + waitLogJob + `.0.0.0 for `, `on oven-0 removed `,
		`kind="cell_left"`, `without a run: 3 long-running tasks, 0 others; ` + waitLogJob + `.0.0.0-2, of which `,
		`"Cell released" cell="` + waitLogCell + `"`,
	},
	{
		`kind="job_added" job="` + waitLogJob + `"`, `detail="orders, loaded"`,
		`kind="cell_loaded"`, `open tasks: 3 long-running, 0 others, 0 delegated`,
		`kind="tasks_wait_capacity" job="` + waitLogJob + `"`, `no run under this holder, which has loaded the job `,
	},
	{
		`kind="job_added" job="` + waitLogJob + `"`, `detail="orders, loaded"`,
		`kind="cell_loaded"`, `open tasks: 3 long-running, 0 others, 0 delegated`,
		`kind="task_start" job="` + waitLogJob + `" task="` + waitLogJob + `.0.0.2"`,
		`kind="cell_left"`, `without a run: 0 long-running tasks, 0 others; runs: 3`,
	},
}

// TestLogOfWaitingTask guards against a long-running task without a run of which the logs of three holders in a row don't
// tell since when, and under which holder it waited for what.
func TestLogOfWaitingTask(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "zinniashore")
	if output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	d := newPlatformDeployment(t, binary)
	leaving := newLeavingWorker(t, d, "oven-0")
	time.Sleep(settleTime)
	first := d.holder("")
	d.submit(first, waitLogJob, waitLogTasks)
	runs := func() bool { return d.ledger.Running(waitLogJob+".0.0.2") == 1 }
	d.await("running", runs)
	leaving.leave(t, d, nil)
	time.Sleep(waitLogPause)
	holders := []endedHolder{d.endHolder(first, syscall.SIGTERM)}
	second := d.holder(first)
	time.Sleep(waitLogPause)
	holders = append(holders, d.endHolder(second, syscall.SIGKILL))
	third := d.holder(second)
	time.Sleep(waitLogPause)
	newLeavingWorker(t, d, "oven-1")
	d.await("running again", runs)
	holders = append(holders, d.endHolder(third, syscall.SIGTERM))
	// The watch of the store may have the job before its submission is answered.
	if submitted := `"Job submitted" job="` + waitLogJob + `"`; !strings.Contains(holders[0].log, submitted) {
		t.Errorf("%s: no line with %s in\n%s", first, submitted, holders[0].log)
	}
	for i, wants := range waitLogHolders {
		rest := holders[i].log
		for _, want := range wants {
			_, after, found := strings.Cut(rest, want)
			if !found {
				t.Fatalf("%s: no line with %s after the one before in\n%s", holders[i].name, want, holders[i].log)
			}
			rest = after
		}
	}
}

package main_test

import (
	"encoding/json"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

type loadReport struct {
	Requests int    `json:"requests"`
	OK       int    `json:"ok"`
	NotRun   int    `json:"not_run"`
	Unknown  int    `json:"unknown"`
	Lost     int    `json:"lost"`
	P50      string `json:"p50"`
	P99      string `json:"p99"`
	Orders   []struct {
		Keys    []string `json:"keys"`
		Outcome string   `json:"outcome"`
	} `json:"orders"`
}

func fetch(t testing.TB, url string, message any) {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(message); err != nil {
		t.Fatal(err)
	}
}

// startShop applies the examples and waits for their endpoints.
func (s *system) startShop(t *testing.T) {
	t.Helper()
	s.operate(t, "apply", "../../examples/cane-shop.jsonc", "../../examples/engraving.jsonc", "../../examples/stockwerk.jsonc")
	eventually(t, "endpoints", func() bool { return len(s.endpoints(t)) == 4 })
}

// load sends requests to all entry VMs and calls act halfway through.
func (s *system) load(t *testing.T, act func()) loadReport {
	t.Helper()
	return s.loadTo(t, s.entries, act)
}

func (s *system) loadTo(t *testing.T, entries []*process, act func()) loadReport {
	t.Helper()
	var targets []string
	for _, entry := range entries {
		targets = append(targets, entry.address("callers"))
	}
	command := exec.Command(binary, "load", "--targets", strings.Join(targets, ","), "--organisation", "stockwerk",
		"--service", "cane-shop", "--token", token, "--rate", "200", "--duration", "4s", "--orders", "0.5", "--attempts", "4", "--json")
	var acting sync.WaitGroup
	acting.Go(func() {
		time.Sleep(2 * time.Second)
		act()
	})
	output, err := command.Output()
	acting.Wait()
	if err != nil {
		t.Fatal(err)
	}
	var report loadReport
	if err := json.Unmarshal(output, &report); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	return report
}

// check compares the outcomes reported to callers with what the endpoints ran.
func (s *system) check(t *testing.T, report loadReport) {
	t.Helper()
	t.Logf("requests %d ok %d not_run %d unknown %d lost %d p50 %s p99 %s", report.Requests, report.OK,
		report.NotRun, report.Unknown, report.Lost, report.P50, report.P99)
	runs, maxInFlight := s.runs(t)
	if maxInFlight > 8 {
		t.Errorf("an endpoint had %d requests in flight, more than its 8 slots", maxInFlight)
	}
	if report.OK == 0 || len(report.Orders) == 0 {
		t.Errorf("nothing was served: %d requests, %d ok, %d orders", report.Requests, report.OK, len(report.Orders))
	}
	for _, order := range report.Orders {
		count := 0
		for _, key := range order.Keys {
			count += runs[key]
		}
		if count > 1 {
			t.Errorf("order %v ran %d times", order.Keys, count)
		}
		if order.Outcome == "not_run" && count != 0 {
			t.Errorf("order %v was reported as not_run but ran", order.Keys)
		}
		if order.Outcome == "ok" && count != 1 {
			t.Errorf("order %v was reported as ok but ran %d times", order.Keys, count)
		}
	}
}

// TestProcessesUnderFaults sends requests and runs a job through separate processes, and
// injects a fault halfway through the load.
func TestProcessesUnderFaults(t *testing.T) {
	tests := map[string]func(t *testing.T, s *system){
		"entry VM killed": func(_ *testing.T, s *system) {
			_ = s.entries[2].command.Process.Kill()
		},
		"entry VM stopped gracefully": func(t *testing.T, s *system) {
			_ = s.entries[2].command.Process.Signal(syscall.SIGTERM)
			if err := s.entries[2].command.Wait(); err != nil {
				t.Errorf("a planned stop ended with %v", err)
			}
		},
		"entry VM frozen past its lease and thawed": func(_ *testing.T, s *system) {
			_ = s.entries[2].command.Process.Signal(syscall.SIGSTOP)
			time.Sleep(3 * time.Second)
			_ = s.entries[2].command.Process.Signal(syscall.SIGCONT)
		},
		"all entry VMs replaced one after the other": func(t *testing.T, s *system) {
			for i, entry := range s.entries {
				_ = entry.command.Process.Signal(syscall.SIGTERM)
				if err := entry.command.Wait(); err != nil {
					t.Errorf("a planned stop ended with %v", err)
				}
				s.entries[i] = launch(t, entry.command.Args[1:]...)
				s.awaitReady(t)
			}
		},
		"store down and entry VM killed": func(_ *testing.T, s *system) {
			s.setStore(`{"outage": true}`)
			_ = s.entries[2].command.Process.Kill()
			time.Sleep(3 * time.Second)
			s.setStore(`{}`)
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, "graz-a", "graz-b", "graz-a")
			s.startShop(t)
			s.operate(t, "submit", "friday", "--organisation", "stockwerk", "--workload", "engraving", "--tasks", "12")
			s.check(t, s.load(t, func() { fault(t, s) }))
			s.checkJob(t, "friday", 12)
		})
	}
}

func (s *system) setStore(faults string) {
	response, err := http.Post("http://"+s.platform.address("store")+"/control/faults", "application/json", strings.NewReader(faults))
	if err == nil {
		_ = response.Body.Close()
	}
}

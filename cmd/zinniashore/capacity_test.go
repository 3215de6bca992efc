package main_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"zinniashore.example/standin"
)

const (
	capacityInterval    = 20 * time.Second
	ticksPerSecond      = 100
	batchTasksPerWorker = 14
	servicesPerWorker   = 2
)

// usage is the resource usage of a process since its start.
type usage struct {
	cpu        float64 // seconds
	resident   float64 // megabytes
	bytes      float64 // read and written, including sockets
	storeCalls float64
}

// BenchmarkCapacity runs one entry VM that owns a growing number of workers with their
// services and batch tasks, and reports the resource usage of its control work per
// second.
func BenchmarkCapacity(b *testing.B) {
	for _, workers := range []int{0, 10, 20, 40} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for range b.N {
				measureCapacity(b, workers)
			}
		})
	}
}

func measureCapacity(b *testing.B, workers int) {
	s := newPlatform(b)
	if workers > 0 {
		s.workers = append(s.workers, launch(b, "standin", "worker", "--id", "w", "--count", strconv.Itoa(workers),
			"--failure-domain", "graz-a", "--list", s.platform.address("list"), "--processors", "64", "--memory", "250"))
	}
	settings := s.settings(b, "graz-a-0", "graz-a", map[string]int{"graz-a": 1})
	content, err := os.ReadFile(settings)
	if err != nil {
		b.Fatal(err)
	}
	defaults := strings.Replace(string(content), `"tasks": {"lease": "3s", "renewal": "200ms", "period": "250ms", "drain": "1s"},`, "", 1)
	defaults = strings.Replace(defaults, `, "lease": "2s", "renewal": "300ms", "drift_margin": "100ms"`, "", 1)
	defaults = strings.Replace(defaults, `, "promise": "1s", "heartbeat": "100ms"`, "", 1)
	if err := os.WriteFile(settings, []byte(defaults), 0o600); err != nil {
		b.Fatal(err)
	}
	s.entries = append(s.entries, launch(b, "serve", "--settings", settings))
	s.awaitReady(b)
	folder := b.TempDir()
	organisation := fmt.Sprintf(`{"organisation": "stockwerk", "workloads": [
		{"name": "cane-shop", "template": "cane-shop", "values": {"instances": %d}},
		{"name": "engraving", "template": "engraving", "values": {"run_time": "1h"}}]}`, workers*servicesPerWorker)
	path := filepath.Join(folder, "organisation.jsonc")
	if err := os.WriteFile(path, []byte(organisation), 0o600); err != nil {
		b.Fatal(err)
	}
	if workers > 0 {
		s.operate(b, "apply", "../../examples/cane-shop.jsonc", "../../examples/engraving.jsonc", path)
		s.operate(b, "submit", "night", "--organisation", "stockwerk", "--workload", "engraving", "--tasks", strconv.Itoa(workers*batchTasksPerWorker))
	}
	running := 1
	for settled := 0; settled < 3; time.Sleep(3 * time.Second) {
		now := strings.Count(s.operate(b, "status"), "\nrunning ")
		settled++
		if now != running {
			running, settled = now, 0
		}
	}
	before := s.usage(b)
	time.Sleep(capacityInterval)
	after := s.usage(b)
	seconds := capacityInterval.Seconds()
	b.ReportMetric(float64(running), "tasks")
	b.ReportMetric((after.cpu-before.cpu)/seconds*100, "%core")
	b.ReportMetric(after.resident, "MB")
	b.ReportMetric((after.bytes-before.bytes)/seconds/1000, "KB/s")
	b.ReportMetric((after.storeCalls-before.storeCalls)/seconds, "store_calls/s")
	b.ReportMetric(float64(s.recordBytes(b))/float64(max(running, 1)), "record_bytes/task")
}

func (s *system) usage(b *testing.B) usage {
	pid := s.entries[0].command.Process.Pid
	stat := strings.Fields(readFile(b, fmt.Sprintf("/proc/%d/stat", pid)))
	var counts standin.StoreCounts
	fetch(b, "http://"+s.platform.address("store")+"/control/counts", &counts)
	var u usage
	u.cpu = (number(b, stat[13]) + number(b, stat[14])) / ticksPerSecond
	for _, line := range strings.Split(readFile(b, fmt.Sprintf("/proc/%d/status", pid)), "\n") {
		if strings.HasPrefix(line, "VmRSS:") {
			u.resident = number(b, strings.Fields(line)[1]) / 1000
		}
	}
	for _, line := range strings.Split(readFile(b, fmt.Sprintf("/proc/%d/io", pid)), "\n") {
		if name, value, found := strings.Cut(line, ": "); found && (name == "rchar" || name == "wchar") {
			u.bytes += number(b, value)
		}
	}
	for _, count := range counts {
		u.storeCalls += float64(count)
	}
	return u
}

// recordBytes returns the total size of the task records in the store, in bytes.
func (s *system) recordBytes(b *testing.B) int {
	response, err := http.Post("http://"+s.platform.address("store")+"/v1/list", "application/json", strings.NewReader(`{"key": "cells/"}`))
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	var listing struct {
		Entries []struct {
			Value []byte `json:"value"`
		} `json:"entries"`
	}
	if err := json.NewDecoder(response.Body).Decode(&listing); err != nil {
		b.Fatal(err)
	}
	total := 0
	for _, entry := range listing.Entries {
		total += len(entry.Value)
	}
	return total
}

func readFile(b *testing.B, path string) string {
	b.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		b.Fatal(err)
	}
	return string(content)
}

func number(b *testing.B, text string) float64 {
	b.Helper()
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		b.Fatal(err)
	}
	return value
}

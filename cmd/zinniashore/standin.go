package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"zinniashore.example/operator"
	"zinniashore.example/placer"
	"zinniashore.example/standin"
)

const (
	registrationTimeout = 5 * time.Second
	milliPerProcessor   = 1000
	workersPerRack      = 8
	bytesPerGigabyte    = 1 << 30
)

// standinCommand runs stand-ins of the platform as separate processes.
type standinCommand struct {
	Platform *platformCommand `arg:"subcommand:platform" help:"the key-value store and the list of VMs"`
	Worker   *workerCommand   `arg:"subcommand:worker" help:"a worker and the endpoints that it runs"`
}

type platformCommand struct {
	Store string        `arg:"--store" default:"127.0.0.1:7400" help:"address of the store"`
	List  string        `arg:"--list" default:"127.0.0.1:7401" help:"address of the list of VMs"`
	Lag   time.Duration `arg:"--lag" default:"500ms" help:"how long a change takes to show in the list"`
}

type workerCommand struct {
	ID            string `arg:"--id,required" help:"id of the worker"`
	FailureDomain string `arg:"--failure-domain,required" help:"failure domain of the worker"`
	Rack          string `arg:"--rack" default:"r0" help:"rack of the worker"`
	Address       string `arg:"--address" default:"127.0.0.1:0" help:"address to listen on"`
	List          string `arg:"--list" default:"127.0.0.1:7401" help:"address of the list of VMs to register with"`
	Processors    int64  `arg:"--processors" default:"16" help:"processors"`
	Memory        int64  `arg:"--memory" default:"60" help:"memory in gigabytes"`
	Accelerators  int64  `arg:"--accelerators" default:"0" help:"accelerators"`
	Count         int    `arg:"--count" default:"1" help:"number of workers; above 1 their ids are numbered, 8 to a rack"`
}

func (c *standinCommand) Run(ctx context.Context, out io.Writer) (operator.ExitStatus, error) {
	switch {
	case c.Platform != nil:
		return operator.ExitDone, c.Platform.run(ctx, out)
	case c.Worker != nil:
		return operator.ExitDone, c.Worker.run(ctx, out)
	}
	return operator.ExitUsage, &operator.UsageError{Problem: "missing stand-in: want platform or worker"}
}

func (c *platformCommand) run(ctx context.Context, out io.Writer) error {
	store, err := standin.Listen(ctx, c.Store, &standin.Store{})
	if err != nil {
		return err
	}
	list, err := standin.Listen(ctx, c.List, &standin.List{Lag: c.Lag})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "store %s list %s\n", store, list)
	<-ctx.Done()
	return nil
}

func (c *workerCommand) run(ctx context.Context, out io.Writer) error {
	for i := range max(c.Count, 1) {
		bound, err := c.numbered(i).start(ctx)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "worker %s %s\n", c.numbered(i).ID, bound)
	}
	<-ctx.Done()
	return nil
}

// numbered returns a copy of the command for the worker with index i.
func (c *workerCommand) numbered(i int) *workerCommand {
	numbered := *c
	if c.Count > 1 {
		numbered.ID = fmt.Sprintf("%s-%d", c.ID, i)
		numbered.Rack = fmt.Sprintf("%s-%d", c.Rack, i/workersPerRack)
	}
	return &numbered
}

func (c *workerCommand) start(ctx context.Context) (string, error) {
	worker := c.worker()
	bound, err := worker.Start(ctx, c.Address)
	if err != nil {
		return "", err
	}
	return bound, registerWorker(ctx, c.List, workerVM(worker, bound))
}

func (c *workerCommand) worker() *standin.Worker {
	return &standin.Worker{
		ID:            c.ID,
		FailureDomain: c.FailureDomain,
		Rack:          c.Rack,
		Capacity: placer.Size{
			Processors:   c.Processors * milliPerProcessor,
			Memory:       c.Memory * bytesPerGigabyte,
			Accelerators: c.Accelerators,
		},
	}
}

func workerVM(worker *standin.Worker, address string) standin.VM {
	return standin.VM{
		ID:            worker.ID,
		Role:          "worker",
		Address:       address,
		FailureDomain: worker.FailureDomain,
		Rack:          worker.Rack,
		State:         standin.VMLive,
		Processors:    worker.Capacity.Processors,
		Memory:        worker.Capacity.Memory,
		Accelerators:  worker.Capacity.Accelerators,
	}
}

func registerWorker(ctx context.Context, list string, vm standin.VM) error {
	ctx, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()
	body, err := json.Marshal(vm)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+list+"/control/put", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

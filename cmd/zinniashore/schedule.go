package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"zinniashore.example"
	"zinniashore.example/logger"
	"zinniashore.example/operator"
	"zinniashore.example/platform"
)

const (
	// scheduleGCPercent trades memory for processor time, since the VMs of the platform
	// have more memory to spare than processor time.
	scheduleGCPercent = 200
	// minScheduleMemoryLimit is the least memory, in bytes, above which the garbage collector
	// runs more often. The limit is half of the memory of the VM, because open connections
	// alone take more than 48 MB on a VM of 184 MB.
	minScheduleMemoryLimit = 48 << 20
)

// scheduleCommand runs the process of an entry VM on the users' platform.
type scheduleCommand struct {
	Settings string `arg:"--settings" help:"settings file of the platform; by default the one that its environment names"`
	Check    bool   `arg:"--check" help:"check the settings file, start nothing"`
}

func (c *scheduleCommand) Run(ctx context.Context, out io.Writer) (operator.ExitStatus, error) {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // before anything that takes time: SIGHUP ends a process without a handler
	file := c.Settings
	if file == "" {
		file = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(file)
	if err != nil {
		return operator.ExitUsage, err
	}
	if c.Check {
		_, err := fmt.Fprintf(out, "%s: %s of %s can start\n", file, settings.Process, settings.FailureDomain)
		return operator.ExitDone, err
	}
	closeLog, err := logger.UseOutput(os.Stdout)
	if err != nil {
		return operator.ExitFailed, err
	}
	defer closeLog()
	debug.SetGCPercent(scheduleGCPercent)
	debug.SetMemoryLimit(max(minScheduleMemoryLimit, settings.Memory/2))
	go func() {
		for range reload {
			checkChangedSettings(file)
		}
	}()
	scheduler := &zinniashore.Scheduler{Settings: settings, Clock: clockwork.NewRealClock()}
	if err := scheduler.Listen(); err != nil {
		return operator.ExitFailed, err
	}
	if err := scheduler.Run(ctx); err != nil {
		return operator.ExitFailed, err
	}
	return operator.ExitDone, nil
}

// checkChangedSettings validates a changed settings file and logs the result. It applies
// nothing, because no setting that the process uses can change while it runs.
func checkChangedSettings(file string) {
	settings, err := platform.LoadSettings(file)
	if err != nil {
		klog.ErrorS(err, "Loading the changed settings failed")
		return
	}
	klog.InfoS("Read the changed settings", "process", settings.Process, "store", settings.StoreAddress)
}

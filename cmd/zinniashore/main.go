// Command zinniashore runs the process of an entry VM, the stand-ins of the platform,
// load generators and measurements, and the commands of operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/zeromicro/go-zero/core/proc"
	"k8s.io/klog/v2"

	"zinniashore.example/logger"
	"zinniashore.example/operator"
)

// command is the implementation of a subcommand.
type command interface {
	Run(ctx context.Context, out io.Writer) (operator.ExitStatus, error)
}

// arguments are the parsed command-line arguments.
type arguments struct {
	Serve    *serveCommand    `arg:"subcommand:serve" help:"run the process of an entry VM"`
	Schedule *scheduleCommand `arg:"subcommand:schedule" help:"run the process of an entry VM on the users' platform"`
	Story    *storyCommand    `arg:"subcommand:story" help:"merge the lines of several logs that name an id"`
	Check    *checkCommand    `arg:"subcommand:check" help:"check settings and templates, or a configuration of the platform; start nothing"`
	Trial    *trialCommand    `arg:"subcommand:trial" help:"run the main job on embedded stand-ins and sum it up"`
	Standin  *standinCommand  `arg:"subcommand:standin" help:"run a stand-in of the platform; for trials and tests only"`
	Load     *loadCommand     `arg:"subcommand:load" help:"put a bounded load on entry VMs of this machine"`

	Measure *measureCommand `arg:"subcommand:measure" help:"measure the policy on this machine"`

	Apply    *operator.ApplyCommand    `arg:"subcommand:apply" help:"change templates or parameter values"`
	Get      *operator.GetCommand      `arg:"subcommand:get" help:"show templates and parameter values in force"`
	Submit   *operator.SubmitCommand   `arg:"subcommand:submit" help:"submit a batch job"`
	Cancel   *operator.CancelCommand   `arg:"subcommand:cancel" help:"cancel a batch job"`
	Status   *operator.StatusCommand   `arg:"subcommand:status" help:"show what runs, what waits and why"`
	Timeline *operator.TimelineCommand `arg:"subcommand:timeline" help:"show the merged time line of all processes"`
	Release  *operator.ReleaseCommand  `arg:"subcommand:release" help:"declare an entry VM gone for good"`
	Evacuate *operator.EvacuateCommand `arg:"subcommand:evacuate" help:"let no task start in a failure domain, or take it back"`

	Verbose int `arg:"-v,--verbose" default:"0" help:"level of the log"`
}

// Version returns the text of --version.
func (arguments) Version() string {
	version := "unknown"
	if info, found := debug.ReadBuildInfo(); found {
		version = info.Main.Version
	}
	return "zinniashore " + version
}

// Description returns the description at the head of --help.
func (arguments) Description() string {
	return "Schedules latency-critical services and batch work on shared VMs.\n" +
		"Exit status: 0 done, 1 failed, 2 wrong use, 3 conflict, 4 pending."
}

func (a *arguments) command() command {
	commands := []struct {
		given   bool
		command command
	}{
		{a.Serve != nil, a.Serve},
		{a.Schedule != nil, a.Schedule},
		{a.Story != nil, a.Story},
		{a.Check != nil, a.Check},
		{a.Trial != nil, a.Trial},
		{a.Standin != nil, a.Standin},
		{a.Load != nil, a.Load},
		{a.Measure != nil, a.Measure},
		{a.Apply != nil, a.Apply},
		{a.Get != nil, a.Get},
		{a.Submit != nil, a.Submit},
		{a.Cancel != nil, a.Cancel},
		{a.Status != nil, a.Status},
		{a.Timeline != nil, a.Timeline},
		{a.Release != nil, a.Release},
		{a.Evacuate != nil, a.Evacuate},
	}
	for _, c := range commands {
		if c.given {
			return c.command
		}
	}
	return nil
}

func main() {
	os.Exit(int(start(os.Args[1:], os.Stdout, os.Stderr)))
}

func start(args []string, out, errorOut io.Writer) operator.ExitStatus {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "zinniashore"}, &parsed)
	if err != nil {
		fmt.Fprintln(errorOut, err)
		return operator.ExitFailed
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return operator.ExitDone
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(out, parsed.Version())
		return operator.ExitDone
	case err != nil:
		fmt.Fprintln(errorOut, "error:", err)
		return operator.ExitUsage
	}
	return execute(&parsed, out, errorOut)
}

func execute(parsed *arguments, out, errorOut io.Writer) operator.ExitStatus {
	chosen := parsed.command()
	if chosen == nil {
		fmt.Fprintln(errorOut, "error: missing subcommand; --help lists the subcommands")
		return operator.ExitUsage
	}
	if err := setUpLog(parsed.Verbose); err != nil {
		fmt.Fprintln(errorOut, "error:", err)
		return operator.ExitFailed
	}
	defer klog.Flush()
	ctx, stop := untilTerminated(context.Background(), proc.Done())
	defer stop()
	status, err := chosen.Run(ctx, out)
	if err == nil {
		return status
	}
	fmt.Fprintln(errorOut, "error:", err)
	var usage *operator.UsageError
	if errors.As(err, &usage) {
		return operator.ExitUsage
	}
	if status == operator.ExitDone {
		return operator.ExitFailed
	}
	return status
}

// untilTerminated returns a context that ends with the first signal to terminate, or once caught is closed. go-zero catches such
// signals from its initialization on, so that one that comes before this call reaches only go-zero. Further signals do
// nothing until the returned function is called.
func untilTerminated(parent context.Context, caught <-chan struct{}) (context.Context, context.CancelFunc) {
	notified, stopNotifying := signal.NotifyContext(parent, os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithCancel(notified)
	go func() {
		select {
		case <-caught:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, func() {
		cancel()
		stopNotifying()
	}
}

func setUpLog(verbose int) error {
	var level klog.Level
	if err := level.Set(fmt.Sprint(verbose)); err != nil {
		return err
	}
	return logger.Install()
}

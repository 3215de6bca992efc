package logger

import (
	"flag"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"
)

// bufferedLines is the number of lines that are buffered for a slow output.
const bufferedLines = 1024

// Output writes lines to another writer without ever blocking. Lines that don't fit into
// the buffer are dropped and counted.
type Output struct {
	lines   chan []byte
	dropped atomic.Int64
	target  io.Writer
	waiting sync.WaitGroup
}

// NewOutput returns an Output that writes to target until Close.
func NewOutput(target io.Writer) *Output {
	o := &Output{lines: make(chan []byte, bufferedLines), target: target}
	o.waiting.Add(1)
	go o.run()
	return o
}

// UseOutput makes klog write each line once to target, through an Output. The caller
// must call the returned function before the process exits.
func UseOutput(target io.Writer) (func(), error) {
	flags := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(flags)
	settings := []struct{ name, value string }{{"logtostderr", "false"}, {"one_output", "true"}}
	for _, s := range settings {
		if err := flags.Set(s.name, s.value); err != nil {
			return nil, err
		}
	}
	output := NewOutput(target)
	klog.SetOutput(output)
	return func() {
		klog.Flush()
		klog.SetOutput(target)
		_ = output.Close()
	}, nil
}

// Write implements io.Writer. It never fails and never blocks.
func (o *Output) Write(line []byte) (int, error) {
	select {
	case o.lines <- append([]byte(nil), line...):
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been reported yet.
func (o *Output) Dropped() int64 { return o.dropped.Load() }

// Close writes the buffered lines and stops. Write must not be called after Close.
func (o *Output) Close() error {
	close(o.lines)
	o.waiting.Wait()
	return nil
}

func (o *Output) run() {
	defer o.waiting.Done()
	for line := range o.lines {
		if dropped := o.dropped.Swap(0); dropped > 0 {
			// A failed write is ignored: the log has no other place to report it.
			_, _ = fmt.Fprintf(o.target, "%d lines left out, the output was too slow\n", dropped)
		}
		_, _ = o.target.Write(line)
	}
}

package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
)

const (
	// firstTestPort and testPorts give a range below the ephemeral ports of the kernel,
	// so that a restarted process finds its ports free.
	firstTestPort = 20000
	testPorts     = 10000
	// portsPerProcess is the number of ports of a process: clients, readiness, peers and
	// metrics.
	portsPerProcess = 4
	// portTries is how many places in the range are tried.
	portTries = 200
)

var reservedByOther = flag.Int("ports.reserved", 0, "first of the ports that TestReservedPorts finds reserved by the process that starts it")

// reservedPorts are the ports that were given to deployments of this test process, which
// run in parallel and bind them later.
var reservedPorts sync.Map

// portLocks is the file in which test processes lock one byte for each place in the range. The
// locks end with the process, or with the first file of that name that it closes: this one stays
// open.
var portLocks = sync.OnceValues(func() (*os.File, error) {
	return os.OpenFile(filepath.Join(os.TempDir(), "zinniashore-test-ports"), os.O_CREATE|os.O_RDWR, 0o600)
})

// freePorts returns the first of portsPerProcess consecutive ports that are free and that
// no other deployment gets, of this or another test process.
func freePorts(t *testing.T) int {
	t.Helper()
	for range portTries {
		first := firstTestPort + portsPerProcess*rand.IntN(testPorts/portsPerProcess)
		if !portsFree(first) {
			continue
		}
		reserved, err := reservePorts(first)
		if err != nil {
			t.Fatal(err)
		}
		if reserved {
			return first
		}
	}
	t.Fatal("no free ports")
	return 0
}

// reservePorts reserves the ports from first on until this process ends. It returns false if they
// are reserved already, here or by another test process.
func reservePorts(first int) (bool, error) {
	if _, taken := reservedPorts.LoadOrStore(first, true); taken {
		return false, nil
	}
	file, err := portLocks()
	if err != nil {
		return false, err
	}
	lock := syscall.Flock_t{Type: syscall.F_WRLCK, Whence: io.SeekStart, Start: int64(first), Len: 1}
	err = syscall.FcntlFlock(file.Fd(), syscall.F_SETLK, &lock)
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EACCES) {
		return false, nil
	}
	return err == nil, err
}

func portsFree(first int) bool {
	for port := first; port < first+portsPerProcess; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		defer listener.Close()
	}
	return true
}

// TestReservedPorts guards against two test processes that give the same ports to their
// deployments.
func TestReservedPorts(t *testing.T) {
	if *reservedByOther > 0 {
		reserved, err := reservePorts(*reservedByOther)
		if err != nil {
			t.Fatal(err)
		}
		if reserved {
			t.Errorf("ports from %d reserved twice", *reservedByOther)
		}
		return
	}
	arguments := []string{"-test.run=^TestReservedPorts$", fmt.Sprintf("-ports.reserved=%d", freePorts(t))}
	if output, err := exec.Command(os.Args[0], arguments...).CombinedOutput(); err != nil {
		t.Errorf("another test process: %v\n%s", err, output)
	}
}

package main

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	// soakPump is the interval at which held back data is looked at again.
	soakPump = 5 * time.Millisecond
	// soakChunks is how many pieces of data a connection holds back in one direction.
	soakChunks = 1024
	// soakPortTries is how many ports are tried: another program may have taken a free one.
	soakPortTries = 10
)

// linkFault is a fault of the connections between one process and one server.
type linkFault struct {
	// delay is added in both directions.
	delay time.Duration
	// silentUp and silentDown hold back what is sent to the server, or by it.
	silentUp, silentDown bool
	// reset breaks connections and refuses new ones.
	reset bool
	// drop breaks the connections at the end of the fault, so that what was held back is
	// lost; otherwise it arrives late.
	drop bool
}

// soakLink is the connections between one process and one server.
type soakLink struct {
	mu     sync.Mutex
	faults map[*linkFault]bool
	conns  map[*soakPair]bool
}

// soakPair is a connection from a process to the proxy and one on to the server.
type soakPair struct {
	near, far net.Conn
	once      sync.Once
	closed    chan struct{}
}

func (p *soakPair) abort() {
	p.once.Do(func() {
		close(p.closed)
		for _, conn := range []net.Conn{p.near, p.far} {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
	})
}

func (l *soakLink) begin(fault *linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults == nil {
		l.faults = map[*linkFault]bool{}
	}
	l.faults[fault] = true
	if fault.reset {
		l.abortAll()
	}
}

func (l *soakLink) end(fault *linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.faults, fault)
	if fault.drop {
		l.abortAll()
	}
}

// reset breaks all connections.
func (l *soakLink) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.abortAll()
}

// abortAll breaks all connections; the caller holds the mutex.
func (l *soakLink) abortAll() {
	for pair := range l.conns {
		pair.abort()
	}
	l.conns = nil
}

// add registers a connection; it returns false if the link refuses it.
func (l *soakLink) add(pair *soakPair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for fault := range l.faults {
		if fault.reset {
			return false
		}
	}
	if l.conns == nil {
		l.conns = map[*soakPair]bool{}
	}
	l.conns[pair] = true
	return true
}

func (l *soakLink) remove(pair *soakPair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, pair)
}

// passes reports whether data that was sent at the given time may go on.
func (l *soakLink) passes(sent time.Time, up bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	delay := time.Duration(0)
	for fault := range l.faults {
		if up && fault.silentUp || !up && fault.silentDown {
			return false
		}
		delay = max(delay, fault.delay)
	}
	return time.Since(sent) >= delay
}

type soakChunk struct {
	sent time.Time
	data []byte
}

// pump forwards data in one direction. The end of the sender follows the data that it
// sent, however late that is delivered.
func (l *soakLink) pump(pair *soakPair, up bool) {
	from, to := pair.near, pair.far
	if !up {
		from, to = pair.far, pair.near
	}
	chunks := make(chan soakChunk, soakChunks)
	go func() {
		defer close(chunks)
		for {
			data := make([]byte, 32<<10)
			n, err := from.Read(data)
			chunk := soakChunk{sent: time.Now(), data: data[:n]}
			select {
			case chunks <- chunk:
			case <-pair.closed:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	for chunk := range chunks {
		for !l.passes(chunk.sent, up) {
			select {
			case <-pair.closed:
				return
			case <-time.After(soakPump):
			}
		}
		if _, err := to.Write(chunk.data); err != nil {
			break
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// soakProxy forwards connections to a server. Which link a connection belongs to depends
// on the process that opened it.
type soakProxy struct {
	mu sync.Mutex
	// listener is nil while the address refuses connections.
	listener net.Listener
	at       string
	target   string
	// link returns the link of a connection, and the name of the process; nil closes the
	// connection.
	link func(near net.Conn) (*soakLink, string)
	// opened is told the local address of each connection to the server.
	opened func(local, process string)
}

// newSoakProxy listens on a port that the kernel doesn't give away while the address refuses
// connections.
func newSoakProxy(t *testing.T, target string) *soakProxy {
	t.Helper()
	var listener net.Listener
	err := errors.New("no port")
	for try := 0; err != nil && try < soakPortTries; try++ {
		listener, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", freePorts(t)))
	}
	if err != nil {
		t.Fatal(err)
	}
	p := &soakProxy{listener: listener, at: listener.Addr().String(), target: target}
	t.Cleanup(func() { p.setOpen(false) })
	return p
}

func (p *soakProxy) address() string { return p.at }

// setOpen makes the address refuse connections, or accept them again.
func (p *soakProxy) setOpen(open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case open && p.listener == nil:
		listener, err := net.Listen("tcp", p.at)
		if err != nil {
			return // the next call tries again
		}
		p.listener = listener
		go p.run(listener)
	case !open && p.listener != nil:
		_ = p.listener.Close()
		p.listener = nil
	}
}

// run accepts connections until the listener is closed.
func (p *soakProxy) run(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(near)
	}
}

func (p *soakProxy) serve(near net.Conn) {
	link, process := p.link(near)
	if link == nil {
		_ = near.Close()
		return
	}
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.Close()
		return
	}
	if p.opened != nil {
		p.opened(far.LocalAddr().String(), process)
	}
	pair := &soakPair{near: near, far: far, closed: make(chan struct{})}
	if !link.add(pair) {
		pair.abort()
		return
	}
	var pumps sync.WaitGroup
	pumps.Go(func() { link.pump(pair, true) })
	pumps.Go(func() { link.pump(pair, false) })
	pumps.Wait()
	link.remove(pair)
	pair.abort()
}

package throttler

import (
	"container/list"
	"sync"
)

// waitingList lists the connections that wait for a request, the longest waiting first.
type waitingList struct {
	mu          sync.Mutex
	connections list.List
}

// add adds a connection at the end, unless it is in the list.
func (l *waitingList) add(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.place == nil {
		c.place = l.connections.PushBack(c)
	}
}

// remove removes a connection, if it is in the list.
func (l *waitingList) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.place != nil {
		l.connections.Remove(c.place)
		c.place = nil
	}
}

// closeFirst closes the connection that has waited longest, if there is one.
func (l *waitingList) closeFirst() {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.connections.Front()
	if first == nil {
		return
	}
	c := first.Value.(*connection)
	l.connections.Remove(first)
	c.place = nil
	// A request that arrives at this moment may still run. Its client gets no answer, as with
	// any connection that ends.
	_ = c.Close()
}

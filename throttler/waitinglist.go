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

// endFirst ends the connection that has waited longest, of those of which the header of a request wasn't received. It
// reports whether there was one.
func (l *waitingList) endFirst() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.connections.Front(); e != nil; e = e.Next() {
		if e.Value.(*connection).request.endUnlessRequested() {
			return true
		}
	}
	return false
}

// endAll ends all connections in the list.
func (l *waitingList) endAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.connections.Front(); e != nil; e = e.Next() {
		e.Value.(*connection).request.endWhenIdle()
	}
}

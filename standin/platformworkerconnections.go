package standin

import (
	"net"
	"net/http"
)

// workerConnection is an open connection and the life of the worker that accepted it.
type workerConnection struct {
	connection net.Conn
	life       int
}

// trackConnection implements connectionTracker.
func (w *PlatformWorker) trackConnection(connection net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	remote := connection.RemoteAddr().String()
	switch state {
	case http.StateNew:
		if w.connections == nil {
			w.connections = map[string]workerConnection{}
		}
		w.connections[remote] = workerConnection{connection: connection, life: w.life}
	case http.StateClosed, http.StateHijacked:
		// A newer connection may have the same remote address already.
		if w.connections[remote].connection == connection {
			delete(w.connections, remote)
		}
	}
}

package seater

import (
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"

	"zinniashore.example/recorder"
	"zinniashore.example/recorder/recorderpb"
)

// TestDialCarriesClock checks that a call advances the hybrid logical clock of the
// caller to that of the peer, so that the merged time line is causal.
func TestDialCarriesClock(t *testing.T) {
	const lead = 20 * time.Second
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	ahead := &recorder.Recorder{Clock: clockwork.NewFakeClockAt(start.Add(lead)), Process: "ahead"}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(grpc.UnaryInterceptor(ahead.UnaryServerInterceptor()))
	ahead.Register(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	s := &Seater{
		Clock: clockwork.NewRealClock(), Heartbeat: time.Second,
		Recorder: &recorder.Recorder{Clock: clockwork.NewFakeClockAt(start), Process: "here"},
	}
	connection := s.dial(listener.Addr().String())
	t.Cleanup(func() { _ = connection.Close() })
	if _, err := recorderpb.NewTimeLineClient(connection).Events(t.Context(), &recorderpb.EventsRequest{}); err != nil {
		t.Fatal(err)
	}
	if got := s.Recorder.Stamp().Wall; got < start.Add(lead).UnixNano() {
		t.Errorf("clock after the call is %v behind that of the peer", start.Add(lead).Sub(time.Unix(0, got)))
	}
}

package holder

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"

	"zinniashore.example/claimer"
	"zinniashore.example/logger"
	"zinniashore.example/relayer"
	"zinniashore.example/relayer/relayerpb"
)

// scriptedHolder is a process that answers queries of a cell as its script says.
type scriptedHolder struct {
	relayerpb.UnimplementedRelayerServer

	held   bool
	failed bool
}

func (s *scriptedHolder) Holds(context.Context, *relayerpb.HoldsRequest) (*relayerpb.HoldsAnswer, error) {
	if s.failed {
		return nil, status.Error(codes.Internal, "failed")
	}
	return &relayerpb.HoldsAnswer{Held: s.held}, nil
}

// serve serves the holder until the test ends and returns its address.
func (s *scriptedHolder) serve(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	relayerpb.RegisterRelayerServer(server, s)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// TestQueryHolderLog checks that queries of the last holder of a cell write a line only
// when the answer differs from the one before, and return every answer.
func TestQueryHolderLog(t *testing.T) {
	const repeats = 20
	type phase struct {
		process, cell string
		held, failed  bool
	}
	tests := map[string]struct {
		phases []phase
		lines  int
	}{
		"the same answer":     {phases: []phase{{process: "a", cell: "graz-a", held: true}}, lines: 1},
		"not held":            {phases: []phase{{process: "a", cell: "graz-a"}}, lines: 1},
		"an error":            {phases: []phase{{process: "a", cell: "graz-a", failed: true}}, lines: 1},
		"held, then not held": {phases: []phase{{process: "a", cell: "graz-a", held: true}, {process: "a", cell: "graz-a"}}, lines: 2},
		"not held, then an error": {
			phases: []phase{{process: "a", cell: "graz-a"}, {process: "a", cell: "graz-a", failed: true}}, lines: 2,
		},
		"held again": {
			phases: []phase{
				{process: "a", cell: "graz-a", held: true}, {process: "a", cell: "graz-a"}, {process: "a", cell: "graz-a", held: true},
			},
			lines: 3,
		},
		"two cells":   {phases: []phase{{process: "a", cell: "graz-a"}, {process: "a", cell: "graz-b"}}, lines: 2},
		"two holders": {phases: []phase{{process: "a", cell: "graz-a"}, {process: "b", cell: "graz-a"}}, lines: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scripted := &scriptedHolder{}
			address := scripted.serve(t)
			last := &LastHolders{Peers: &relayer.Client{}}
			defer last.Peers.Close()
			var log bytes.Buffer
			closeLog, err := logger.UseOutput(&log)
			if err != nil {
				t.Fatal(err)
			}
			defer klog.LogToStderr(true)
			for _, p := range test.phases {
				scripted.held, scripted.failed = p.held, p.failed
				for range repeats {
					holder := claimer.Holder{Process: p.process, Address: address, Incarnation: p.process}
					if held := last.Holds(t.Context(), holder, p.cell); held != p.held {
						t.Errorf("Holds of %+v returns %t", p, held)
					}
				}
			}
			closeLog()
			if lines := strings.Count(log.String(), "Queried the last holder of a cell"); lines != test.lines {
				t.Errorf("%d lines after %d queries, want %d:\n%s", lines, repeats*len(test.phases), test.lines, log.String())
			}
		})
	}
}

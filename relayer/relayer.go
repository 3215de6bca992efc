// Package relayer carries questions about cells between the processes of a
// deployment.
package relayer

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"zinniashore.example/dispatcher"
	"zinniashore.example/relayer/relayerpb"
)

const (
	// pingInterval and pingTimeout find a connection that has gone silent.
	pingInterval = 10 * time.Second
	pingTimeout  = 2 * time.Second
	pingMinimum  = 5 * time.Second

	firstRedial     = 100 * time.Millisecond
	lastRedial      = time.Second
	dialTimeout     = time.Second
	redialFactor    = 1.6
	redialJitter    = 0.2
	maxMessageBytes = 16 << 20
)

// ErrNotHeld reports a process that doesn't hold the cell.
var ErrNotHeld = errors.New("the process does not hold the cell")

// Cells gives the cells that this process holds.
type Cells interface {
	// Runner returns the runner of a cell, or nil.
	Runner(cell string) *dispatcher.Runner
}

// Server answers peers.
type Server struct {
	relayerpb.UnimplementedRelayerServer

	// Cells are the cells that this process holds.
	Cells Cells
	// ReachesStore reports whether this process reaches the store.
	ReachesStore func() bool
}

// NewGRPCServer returns a server of peers.
func NewGRPCServer(s *Server) *grpc.Server {
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingMinimum, PermitWithoutStream: true}))
	relayerpb.RegisterRelayerServer(server, s)
	return server
}

// loaded returns the runner of a cell once its jobs are loaded, or nil.
func (s *Server) loaded(ctx context.Context, cell string) *dispatcher.Runner {
	runner := s.Cells.Runner(cell)
	if runner == nil {
		return nil
	}
	select {
	case <-runner.Loaded():
		return runner
	case <-ctx.Done():
		return nil
	}
}

// State implements relayerpb.RelayerServer.
func (s *Server) State(ctx context.Context, q *relayerpb.JobRequest) (*relayerpb.StateAnswer, error) {
	runner := s.loaded(ctx, q.GetCell())
	if runner == nil {
		return &relayerpb.StateAnswer{}, nil
	}
	state, known := runner.State(q.GetJob())
	return &relayerpb.StateAnswer{Held: true, Known: known, State: string(state)}, nil
}

// Cancel implements relayerpb.RelayerServer.
func (s *Server) Cancel(ctx context.Context, q *relayerpb.JobRequest) (*relayerpb.CancelAnswer, error) {
	runner := s.loaded(ctx, q.GetCell())
	if runner == nil {
		return &relayerpb.CancelAnswer{}, nil
	}
	known, err := runner.Cancel(ctx, q.GetJob())
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &relayerpb.CancelAnswer{Held: true, Known: known}, nil
}

// Pending implements relayerpb.RelayerServer.
func (s *Server) Pending(ctx context.Context, q *relayerpb.PendingRequest) (*relayerpb.PendingAnswer, error) {
	runner := s.loaded(ctx, q.GetCell())
	if runner == nil {
		return &relayerpb.PendingAnswer{}, nil
	}
	return &relayerpb.PendingAnswer{Held: true, Pending: int64(runner.Pending(q.GetQueue()))}, nil
}

// Room implements relayerpb.RelayerServer.
func (s *Server) Room(ctx context.Context, q *relayerpb.RoomRequest) (*relayerpb.RoomAnswer, error) {
	runner := s.loaded(ctx, q.GetCell())
	if runner == nil {
		return &relayerpb.RoomAnswer{}, nil
	}
	room := runner.FreeCapacity(q.GetService(), dispatcher.Step{
		Count: int(q.GetCount()),
		Size: dispatcher.Size{
			MilliProcessors: q.GetMilliProcessors(), Megabytes: q.GetMegabytes(), Accelerators: q.GetAccelerators(),
		},
		WorkerLimit: int(q.GetWorkerLimit()),
		Label:       q.GetLabel(),
		LongRunning: q.GetLasting(),
		BestEffort:  q.GetFiller(),
		Image:       q.GetImage(),
	})
	return &relayerpb.RoomAnswer{Held: true, Places: int64(room.Places), Load: room.Load}, nil
}

// Holds implements relayerpb.RelayerServer.
func (s *Server) Holds(_ context.Context, q *relayerpb.HoldsRequest) (*relayerpb.HoldsAnswer, error) {
	runner := s.Cells.Runner(q.GetCell())
	return &relayerpb.HoldsAnswer{Held: runner != nil && runner.Confirmed(), ReachesStore: s.ReachesStore()}, nil
}

// Deliver implements relayerpb.RelayerServer.
func (s *Server) Deliver(ctx context.Context, q *relayerpb.DeliverRequest) (*relayerpb.DeliverAnswer, error) {
	runner := s.loaded(ctx, q.GetCell())
	if runner == nil {
		return &relayerpb.DeliverAnswer{}, nil
	}
	for _, content := range q.GetJobs() {
		job, err := dispatcher.DecodeJob(content)
		if err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		runner.Add(job, true)
	}
	return &relayerpb.DeliverAnswer{Held: true}, nil
}

// Client asks peers. The zero value is ready for use.
type Client struct {
	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
}

// State returns the state of a job by the word of the cell's holder, and
// whether the cell knows the job.
func (c *Client) State(ctx context.Context, address, cell, job string) (dispatcher.State, bool, error) {
	answer, err := call(ctx, c, address, relayerpb.RelayerClient.State, &relayerpb.JobRequest{Cell: cell, Job: job})
	if err != nil {
		return "", false, err
	}
	return dispatcher.State(answer.GetState()), answer.GetKnown(), heldError(answer.GetHeld())
}

// Cancel cancels a job; it reports whether the cell knows the job.
func (c *Client) Cancel(ctx context.Context, address, cell, job string) (bool, error) {
	answer, err := call(ctx, c, address, relayerpb.RelayerClient.Cancel, &relayerpb.JobRequest{Cell: cell, Job: job})
	if err != nil {
		return false, err
	}
	return answer.GetKnown(), heldError(answer.GetHeld())
}

// Pending returns how many jobs of a queue have no task started in a cell.
func (c *Client) Pending(ctx context.Context, address, cell, queue string) (int, error) {
	answer, err := call(ctx, c, address, relayerpb.RelayerClient.Pending, &relayerpb.PendingRequest{Cell: cell, Queue: queue})
	if err != nil {
		return 0, err
	}
	return int(answer.GetPending()), heldError(answer.GetHeld())
}

// Room returns what a cell has left for a step of a service.
func (c *Client) Room(ctx context.Context, address, cell, service string, step dispatcher.Step) (dispatcher.FreeCapacity, error) {
	answer, err := call(ctx, c, address, relayerpb.RelayerClient.Room, &relayerpb.RoomRequest{
		Cell: cell, Service: service,
		MilliProcessors: step.Size.MilliProcessors, Megabytes: step.Size.Megabytes, Accelerators: step.Size.Accelerators,
		WorkerLimit: int64(step.WorkerLimit), Count: int64(step.Count), Label: step.Label,
		Lasting: step.LongRunning, Filler: step.BestEffort, Image: step.Image,
	})
	if err != nil {
		return dispatcher.FreeCapacity{}, err
	}
	return dispatcher.FreeCapacity{Places: int(answer.GetPlaces()), Load: answer.GetLoad()}, heldError(answer.GetHeld())
}

// Standing is what a peer says of itself.
type Standing struct {
	// Holds says that the peer holds the cell by the word of the cell's workers.
	Holds bool
	// ReachesStore says that the peer reaches the store.
	ReachesStore bool
}

// Standing asks a peer about a cell and the store.
func (c *Client) Standing(ctx context.Context, address, cell string) (Standing, error) {
	answer, err := call(ctx, c, address, relayerpb.RelayerClient.Holds, &relayerpb.HoldsRequest{Cell: cell})
	return Standing{Holds: answer.GetHeld(), ReachesStore: answer.GetReachesStore()}, err
}

// Deliver hands jobs over in their stored form.
func (c *Client) Deliver(ctx context.Context, address, cell string, jobs [][]byte) error {
	answer, err := call(ctx, c, address, relayerpb.RelayerClient.Deliver, &relayerpb.DeliverRequest{Cell: cell, Jobs: jobs})
	if err != nil {
		return err
	}
	return heldError(answer.GetHeld())
}

func heldError(held bool) error {
	if held {
		return nil
	}
	return ErrNotHeld
}

// call makes a call; a connection on which it got no answer in time is not used
// again.
func call[Q, A any](ctx context.Context, c *Client, address string,
	method func(relayerpb.RelayerClient, context.Context, *Q, ...grpc.CallOption) (*A, error), request *Q) (*A, error) {
	connection, err := c.connection(address)
	if err != nil {
		return nil, err
	}
	answer, err := method(relayerpb.NewRelayerClient(connection), ctx, request)
	if status.Code(err) == codes.DeadlineExceeded {
		c.drop(address, connection)
	}
	return answer, err
}

func (c *Client) connection(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if connection, found := c.connections[address]; found {
		return connection, nil
	}
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: firstRedial, Multiplier: redialFactor, Jitter: redialJitter, MaxDelay: lastRedial},
			MinConnectTimeout: dialTimeout,
		}))
	if err != nil {
		return nil, err
	}
	if c.connections == nil {
		c.connections = map[string]*grpc.ClientConn{}
	}
	c.connections[address] = connection
	return connection, nil
}

// dropDelay lets the other calls on a connection end first.
const dropDelay = 2 * time.Second

func (c *Client) drop(address string, connection *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connections[address] != connection {
		return
	}
	delete(c.connections, address)
	time.AfterFunc(dropDelay, func() { _ = connection.Close() })
}

// Close closes the connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, connection := range c.connections {
		_ = connection.Close()
		delete(c.connections, address)
	}
}

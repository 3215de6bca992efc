// Package relayer provides the gRPC service through which the processes of a
// deployment send requests about a cell to the process that holds it.
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
	// pingInterval and pingTimeout are the keepalive parameters that detect an
	// unresponsive connection.
	pingInterval    = 10 * time.Second
	pingTimeout     = 2 * time.Second
	minPingInterval = 5 * time.Second
	// handshakeTimeout ends a connection that sends nothing. The default of gRPC is two minutes.
	handshakeTimeout = 5 * time.Second

	minRedialDelay  = 100 * time.Millisecond
	maxRedialDelay  = time.Second
	dialTimeout     = time.Second
	redialFactor    = 1.6
	redialJitter    = 0.2
	maxMessageBytes = 16 << 20
)

// ErrNotHeld reports that the called process doesn't hold the cell.
var ErrNotHeld = errors.New("the process does not hold the cell")

// Cells provides the runners of the cells that this process holds.
type Cells interface {
	// Runner returns the runner of a cell, or nil if this process doesn't hold it.
	Runner(cell string) *dispatcher.Runner
	// Yield stops the runner of a cell if its epoch is before epoch, and any later one. It
	// reports whether none of them acts any more.
	Yield(cell string, epoch int64) bool
}

// Server implements the Relayer service.
type Server struct {
	relayerpb.UnimplementedRelayerServer

	// Cells are the cells that this process holds.
	Cells Cells
	// ReachesStore reports whether this process reaches the store.
	ReachesStore func() bool
	// Incarnation is unique to the run of this process.
	Incarnation string
}

// NewGRPCServer returns a gRPC server on which s is registered.
func NewGRPCServer(s *Server) *grpc.Server {
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}))
	relayerpb.RegisterRelayerServer(server, s)
	return server
}

// loadedRunner waits until the jobs of a cell are loaded and returns its runner. It
// returns nil if this process doesn't hold the cell or ctx ends first.
func (s *Server) loadedRunner(ctx context.Context, cell string) *dispatcher.Runner {
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
func (s *Server) State(ctx context.Context, request *relayerpb.JobRequest) (*relayerpb.StateAnswer, error) {
	runner := s.loadedRunner(ctx, request.GetCell())
	if runner == nil {
		return &relayerpb.StateAnswer{}, nil
	}
	state, known := runner.State(request.GetJob())
	return &relayerpb.StateAnswer{Held: true, Known: known, State: string(state)}, nil
}

// Cancel implements relayerpb.RelayerServer.
func (s *Server) Cancel(ctx context.Context, request *relayerpb.JobRequest) (*relayerpb.CancelAnswer, error) {
	runner := s.loadedRunner(ctx, request.GetCell())
	if runner == nil {
		return &relayerpb.CancelAnswer{}, nil
	}
	known, err := runner.Cancel(ctx, request.GetJob())
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &relayerpb.CancelAnswer{Held: true, Known: known}, nil
}

// Pending implements relayerpb.RelayerServer.
func (s *Server) Pending(ctx context.Context, request *relayerpb.PendingRequest) (*relayerpb.PendingAnswer, error) {
	runner := s.loadedRunner(ctx, request.GetCell())
	if runner == nil {
		return &relayerpb.PendingAnswer{}, nil
	}
	return &relayerpb.PendingAnswer{Held: true, Pending: int64(runner.Pending(request.GetQueue()))}, nil
}

// Room implements relayerpb.RelayerServer.
func (s *Server) Room(ctx context.Context, request *relayerpb.RoomRequest) (*relayerpb.RoomAnswer, error) {
	runner := s.loadedRunner(ctx, request.GetCell())
	if runner == nil {
		return &relayerpb.RoomAnswer{}, nil
	}
	if err := ctx.Err(); err != nil {
		return nil, status.FromContextError(err).Err() // the caller has given up
	}
	capacity := runner.FreeCapacity(request.GetService(), dispatcher.StepID{Job: request.GetJob(), Step: int(request.GetStep())}, dispatcher.Step{
		Count: int(request.GetCount()),
		Size: dispatcher.Size{
			MilliProcessors: request.GetMilliProcessors(), Megabytes: request.GetMegabytes(), Accelerators: request.GetAccelerators(),
		},
		WorkerLimit: int(request.GetWorkerLimit()),
		Label:       request.GetLabel(),
		LongRunning: request.GetLasting(),
		BestEffort:  request.GetFiller(),
		Image:       request.GetImage(),
	})
	return &relayerpb.RoomAnswer{Held: true, Places: int64(capacity.Places), LaterPlaces: int64(capacity.LaterPlaces), Load: capacity.Load}, nil
}

// Holds implements relayerpb.RelayerServer.
func (s *Server) Holds(_ context.Context, request *relayerpb.HoldsRequest) (*relayerpb.HoldsAnswer, error) {
	runner := s.Cells.Runner(request.GetCell())
	return &relayerpb.HoldsAnswer{Held: runner != nil && runner.Confirmed(), ReachesStore: s.ReachesStore()}, nil
}

// Yield implements relayerpb.RelayerServer.
func (s *Server) Yield(_ context.Context, request *relayerpb.YieldRequest) (*relayerpb.YieldAnswer, error) {
	ended := request.GetIncarnation() != s.Incarnation || s.Cells.Yield(request.GetCell(), request.GetEpoch())
	return &relayerpb.YieldAnswer{Ended: ended}, nil
}

// Deliver implements relayerpb.RelayerServer.
func (s *Server) Deliver(ctx context.Context, request *relayerpb.DeliverRequest) (*relayerpb.DeliverAnswer, error) {
	runner := s.loadedRunner(ctx, request.GetCell())
	if runner == nil {
		return &relayerpb.DeliverAnswer{}, nil
	}
	for _, content := range request.GetJobs() {
		job, err := dispatcher.DecodeJob(content)
		if err != nil {
			return nil, status.Error(codes.InvalidArgument, err.Error())
		}
		runner.Add(job, true)
	}
	return &relayerpb.DeliverAnswer{Held: true}, nil
}

// Client sends requests to peers over one connection for each address. The zero value
// is ready for use.
type Client struct {
	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
	// unanswered counts the calls in a row that the peer at an address hasn't answered.
	unanswered map[string]int
}

// State returns the state of a job as the peer reports it, and whether the cell has
// the job. It returns ErrNotHeld if the peer doesn't hold the cell.
func (c *Client) State(ctx context.Context, address, cell, job string) (dispatcher.State, bool, error) {
	answer, err := call(ctx, c, address, relayerpb.RelayerClient.State, &relayerpb.JobRequest{Cell: cell, Job: job})
	if err != nil {
		return "", false, err
	}
	return dispatcher.State(answer.GetState()), answer.GetKnown(), heldError(answer.GetHeld())
}

// Cancel cancels a job and reports whether the cell has it. It returns ErrNotHeld if
// the peer doesn't hold the cell.
func (c *Client) Cancel(ctx context.Context, address, cell, job string) (bool, error) {
	answer, err := call(ctx, c, address, relayerpb.RelayerClient.Cancel, &relayerpb.JobRequest{Cell: cell, Job: job})
	if err != nil {
		return false, err
	}
	return answer.GetKnown(), heldError(answer.GetHeld())
}

// Pending returns the number of jobs of a queue that have no started task in a cell.
// It returns ErrNotHeld if the peer doesn't hold the cell.
func (c *Client) Pending(ctx context.Context, address, cell, queue string) (int, error) {
	answer, err := call(ctx, c, address, relayerpb.RelayerClient.Pending, &relayerpb.PendingRequest{Cell: cell, Queue: queue})
	if err != nil {
		return 0, err
	}
	return int(answer.GetPending()), heldError(answer.GetHeld())
}

// FreeCapacity returns the free capacity of a cell for a step of a service. It returns
// ErrNotHeld if the peer doesn't hold the cell.
func (c *Client) FreeCapacity(ctx context.Context, address, cell, service string, id dispatcher.StepID, step dispatcher.Step) (dispatcher.FreeCapacity, error) {
	answer, err := call(ctx, c, address, relayerpb.RelayerClient.Room, &relayerpb.RoomRequest{
		Cell: cell, Service: service,
		MilliProcessors: step.Size.MilliProcessors, Megabytes: step.Size.Megabytes, Accelerators: step.Size.Accelerators,
		WorkerLimit: int64(step.WorkerLimit), Count: int64(step.Count), Label: step.Label,
		Lasting: step.LongRunning, Filler: step.BestEffort, Image: step.Image, Job: id.Job, Step: int64(id.Step),
	})
	if err != nil {
		return dispatcher.FreeCapacity{}, err
	}
	return dispatcher.FreeCapacity{Places: int(answer.GetPlaces()), LaterPlaces: int(answer.GetLaterPlaces()), Load: answer.GetLoad()}, heldError(answer.GetHeld())
}

// PeerStatus describes whether a peer holds a cell and reaches the store.
type PeerStatus struct {
	// Holds is true if the peer holds the cell and the cell's workers confirm it.
	Holds bool
	// ReachesStore is true if the peer reaches the store.
	ReachesStore bool
}

// PeerStatus queries whether a peer holds a cell and reaches the store.
func (c *Client) PeerStatus(ctx context.Context, address, cell string) (PeerStatus, error) {
	answer, err := call(ctx, c, address, relayerpb.RelayerClient.Holds, &relayerpb.HoldsRequest{Cell: cell})
	return PeerStatus{Holds: answer.GetHeld(), ReachesStore: answer.GetReachesStore()}, err
}

// Yield asks a peer to give up a cell under all epochs before the given one. It reports whether
// the run of the peer with the given incarnation has certainly stopped acting under them.
func (c *Client) Yield(ctx context.Context, address, cell, incarnation string, epoch int64) (bool, error) {
	answer, err := call(ctx, c, address, relayerpb.RelayerClient.Yield,
		&relayerpb.YieldRequest{Cell: cell, Epoch: epoch, Incarnation: incarnation})
	return answer.GetEnded(), err
}

// Deliver sends encoded jobs to the holder of their cell. It returns ErrNotHeld if the
// peer doesn't hold the cell.
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

// call calls a method of a peer. It discards the connection if the deadline passes, so
// that the next call opens a new one.
func call[Q, A any](ctx context.Context, c *Client, address string,
	method func(relayerpb.RelayerClient, context.Context, *Q, ...grpc.CallOption) (*A, error), request *Q) (*A, error) {
	connection, err := c.connection(address)
	if err != nil {
		return nil, err
	}
	answer, err := method(relayerpb.NewRelayerClient(connection), ctx, request)
	if status.Code(err) == codes.DeadlineExceeded {
		c.discard(address, connection)
	}
	c.countUnanswered(address, status.Code(err))
	return answer, err
}

// countUnanswered counts a call of a peer that ended with a code. One that this process has cancelled tells nothing.
func (c *Client) countUnanswered(address string, code codes.Code) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch code {
	case codes.Canceled:
	case codes.DeadlineExceeded, codes.Unavailable:
		if c.unanswered == nil {
			c.unanswered = map[string]int{}
		}
		c.unanswered[address]++
	default:
		delete(c.unanswered, address)
	}
}

// Unanswered returns how many calls in a row the peer at an address hasn't answered.
func (c *Client) Unanswered(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered[address]
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
			Backoff:           backoff.Config{BaseDelay: minRedialDelay, Multiplier: redialFactor, Jitter: redialJitter, MaxDelay: maxRedialDelay},
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

// closeDelay is how long a discarded connection stays open for other calls to end.
const closeDelay = 2 * time.Second

func (c *Client) discard(address string, connection *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connections[address] != connection {
		return
	}
	delete(c.connections, address)
	time.AfterFunc(closeDelay, func() { _ = connection.Close() })
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, connection := range c.connections {
		_ = connection.Close()
		delete(c.connections, address)
	}
}

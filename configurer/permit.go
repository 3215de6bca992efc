package configurer

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"zinniashore.example/configurer/configurerpb"
)

const (
	// permitLength is how long a process that the store does not know may serve
	// after it asked a peer, on its own clock.
	permitLength = 3 * time.Second
	// permitLapse is after how long the peer regards a permit as ended, on the
	// peer's clock. The difference covers clocks of unlike rates.
	permitLapse = 4 * time.Second

	learnPeriod  = 500 * time.Millisecond
	learnTimeout = 500 * time.Millisecond
)

// Peers are the other entry VMs.
type Peers interface {
	// Peers returns the entry VMs that are known.
	Peers() []Peer
}

// Peer is another entry VM.
type Peer struct {
	// VM is the entry VM.
	VM string
	// FailureDomain is its failure domain.
	FailureDomain string
	// Alive tells whether it answered lately.
	Alive bool
	// Connection reaches it. It may be nil.
	Connection grpc.ClientConnInterface
}

// errNoPermit reports that no peer of the failure domain could permit.
var errNoPermit = errors.New("no peer of the failure domain permits this process to serve")

// learner is a process that this one permits to serve while the store does not
// know it.
type learner struct {
	revision int64
	answered time.Time
}

// Register adds the service that permits peers to the server.
func (c *Configurer) Register(server grpc.ServiceRegistrar) {
	configurerpb.RegisterConfigurationServer(server, &permitServer{configurer: c})
}

// permitServer answers peers that cannot reach the store.
type permitServer struct {
	configurerpb.UnimplementedConfigurationServer

	configurer *Configurer
}

// Learn implements configurerpb.ConfigurationServer.
func (s *permitServer) Learn(_ context.Context, r *configurerpb.LearnRequest) (*configurerpb.LearnAnswer, error) {
	return s.configurer.permit(r)
}

func (c *Configurer) permit(r *configurerpb.LearnRequest) (*configurerpb.LearnAnswer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.registered || c.stopped || r.GetFailureDomain() != c.FailureDomain {
		return &configurerpb.LearnAnswer{}, nil
	}
	if c.learners == nil {
		c.learners = map[string]learner{}
	}
	c.learners[r.GetProcess()] = learner{revision: r.GetRevision(), answered: c.Clock.Now()}
	answer := &configurerpb.LearnAnswer{Permitted: true, Revision: c.document.Revision}
	if c.document.Revision > r.GetRevision() {
		body, err := c.document.encode()
		if err != nil {
			return nil, err
		}
		answer.Document = body
	}
	return answer, nil
}

// learnersReached reports whether every process with a permit runs the revision,
// forgetting those whose permit has ended; the caller holds mu.
func (c *Configurer) learnersReached(revision int64, now time.Time) bool {
	reached := true
	for process, l := range c.learners {
		if now.Sub(l.answered) > permitLapse {
			delete(c.learners, process)
			continue
		}
		reached = reached && l.revision >= revision
	}
	return reached
}

// awaitLearners waits until every permit has ended.
func (c *Configurer) awaitLearners(ctx context.Context) error {
	const never = int64(1<<63 - 1)
	for {
		c.mu.Lock()
		ended := c.learnersReached(never, c.Clock.Now())
		c.mu.Unlock()
		if ended {
			return nil
		}
		if err := c.sleep(ctx, learnPeriod); err != nil {
			return err
		}
	}
}

// learnUntilRegistered renews a permit from a peer for as long as the store does
// not know this process.
func (c *Configurer) learnUntilRegistered(ctx context.Context) {
	for c.sleep(ctx, learnPeriod) == nil {
		c.mu.Lock()
		needed := !c.registered && !c.stopped
		c.mu.Unlock()
		if !needed {
			continue
		}
		if err := c.learn(ctx); err != nil {
			klog.V(1).InfoS("Configuration can't be learnt from a peer", "vm", c.VM, "err", err)
		}
	}
}

func (c *Configurer) learn(ctx context.Context) error {
	if c.Peers == nil {
		return errNoPermit
	}
	for _, peer := range c.Peers.Peers() {
		if peer.VM == c.VM || peer.FailureDomain != c.FailureDomain || peer.Connection == nil {
			continue
		}
		if err := c.learnFrom(ctx, peer); err == nil {
			return nil
		}
	}
	return errNoPermit
}

// learnFrom asks one peer. The permit counts from before the question, and only
// for a process that runs a revision at least as new as the peer's.
func (c *Configurer) learnFrom(ctx context.Context, peer Peer) error {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	asked := c.Clock.Now()
	answer, err := configurerpb.NewConfigurationClient(peer.Connection).Learn(ctx, &configurerpb.LearnRequest{
		Process:       c.Process,
		FailureDomain: c.FailureDomain,
		Revision:      c.Document().Revision,
	})
	if err != nil {
		return err
	}
	if !answer.GetPermitted() {
		return errNoPermit
	}
	if answer.GetDocument() != nil {
		if err := c.adopt(answer.GetDocument()); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.document.Revision < answer.GetRevision() {
		return errNoPermit
	}
	c.known = true
	c.permitted = asked.Add(permitLength)
	return nil
}

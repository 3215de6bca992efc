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
	// permitTTL is how long an unregistered process may serve after it requested a
	// permit, measured on its own clock.
	permitTTL = 3 * time.Second
	// grantedPermitTTL is how long the peer that granted a permit considers it valid,
	// measured on the peer's clock. It exceeds permitTTL because clocks run at different
	// rates.
	grantedPermitTTL = 4 * time.Second

	permitRenewalPeriod  = 500 * time.Millisecond
	permitRequestTimeout = 500 * time.Millisecond
)

// Peers lists the other entry VMs.
type Peers interface {
	// Peers returns the known entry VMs.
	Peers() []Peer
}

// Peer is another entry VM.
type Peer struct {
	// VM is the name of the entry VM.
	VM string
	// FailureDomain is the failure domain of the entry VM.
	FailureDomain string
	// Alive is true if the entry VM answered recently.
	Alive bool
	// Connection is a gRPC connection to the entry VM. It may be nil.
	Connection grpc.ClientConnInterface
}

// errNoPermit reports that no peer of the failure domain granted a permit for a revision
// that this process runs.
var errNoPermit = errors.New("no peer of the failure domain permits this process to serve")

// permit is the permission to serve that this process granted to an unregistered one.
type permit struct {
	revision  int64
	grantedAt time.Time
}

// Register registers the gRPC service that grants permits.
func (c *Configurer) Register(server grpc.ServiceRegistrar) {
	configurerpb.RegisterConfigurationServer(server, &permitServer{configurer: c})
}

// permitServer grants permits to peers that cannot reach the store.
type permitServer struct {
	configurerpb.UnimplementedConfigurationServer

	configurer *Configurer
}

// Learn implements configurerpb.ConfigurationServer.
func (s *permitServer) Learn(_ context.Context, r *configurerpb.LearnRequest) (*configurerpb.LearnAnswer, error) {
	return s.configurer.grantPermit(r)
}

func (c *Configurer) grantPermit(r *configurerpb.LearnRequest) (*configurerpb.LearnAnswer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.registered || c.stopped || r.GetFailureDomain() != c.FailureDomain {
		return &configurerpb.LearnAnswer{}, nil
	}
	if c.permits == nil {
		c.permits = map[string]permit{}
	}
	c.permits[r.GetProcess()] = permit{revision: r.GetRevision(), grantedAt: c.Clock.Now()}
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

// permitHoldersReached reports whether every process with a permit runs the revision or a
// newer one. It deletes expired permits. The caller holds mu.
func (c *Configurer) permitHoldersReached(revision int64, now time.Time) bool {
	reached := true
	for process, granted := range c.permits {
		if now.Sub(granted.grantedAt) > grantedPermitTTL {
			delete(c.permits, process)
			continue
		}
		reached = reached && granted.revision >= revision
	}
	return reached
}

// awaitPermitExpiry waits until every permit that this process granted has expired.
func (c *Configurer) awaitPermitExpiry(ctx context.Context) error {
	const never = int64(1<<63 - 1)
	for {
		c.mu.Lock()
		ended := c.permitHoldersReached(never, c.Clock.Now())
		c.mu.Unlock()
		if ended {
			return nil
		}
		if err := c.sleep(ctx, permitRenewalPeriod); err != nil {
			return err
		}
	}
}

// renewPermitUntilRegistered requests permits from peers while this process is not
// registered.
func (c *Configurer) renewPermitUntilRegistered(ctx context.Context) {
	for c.sleep(ctx, permitRenewalPeriod) == nil {
		c.mu.Lock()
		needed := !c.registered && !c.stopped
		c.mu.Unlock()
		if !needed {
			continue
		}
		if err := c.requestPermit(ctx); err != nil {
			klog.V(1).InfoS("Failed to get a permit from a peer", "vm", c.VM, "err", err)
		}
	}
}

func (c *Configurer) requestPermit(ctx context.Context) error {
	if c.Peers == nil {
		return errNoPermit
	}
	for _, peer := range c.Peers.Peers() {
		if peer.VM == c.VM || peer.FailureDomain != c.FailureDomain || peer.Connection == nil {
			continue
		}
		if err := c.requestPermitFrom(ctx, peer); err == nil {
			return nil
		}
	}
	return errNoPermit
}

// requestPermitFrom requests a permit from one peer and adopts the peer's configuration
// if it is newer. The permit is valid from the time before the request was sent, and
// only if this process then runs a revision at least as new as the peer's.
func (c *Configurer) requestPermitFrom(ctx context.Context, peer Peer) error {
	ctx, cancel := context.WithTimeout(ctx, permitRequestTimeout)
	defer cancel()
	requestedAt := c.Clock.Now()
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
	c.synced = true
	c.permitExpiry = requestedAt.Add(permitTTL)
	return nil
}

package administrator

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"zinniashore.example/administrator/administratorpb"
	"zinniashore.example/configurer"
	"zinniashore.example/placer"
)

const statusTimeout = 2 * time.Second

// Reporter tells the state of one process and of the cells that it owns.
type Reporter interface {
	// Report returns the state, of one organisation or of all if it is empty.
	Report(ctx context.Context, organisation string) Report
}

// Report is the state of one process, or of several merged.
type Report struct {
	// Running are the tasks that have a worker.
	Running []Running
	// Waiting are the tasks that wait, with the reason.
	Waiting []Waiting
	// Uses are what organisations use in the cells of the process.
	Uses []Use
	// Quarantined are the workers that take no tasks.
	Quarantined []Quarantine
	// Leases are the leases that lapse soon.
	Leases []Lease
	// CutOff are the failure domains that the process can't reach.
	CutOff []CutOff
}

// Running is a task that has a worker.
type Running struct {
	// Organisation owns the task.
	Organisation string
	// Task is its id.
	Task string
	// Template is the template that it was made from.
	Template string
	// Worker is where it may run.
	Worker string
	// FailureDomain is the failure domain of the worker.
	FailureDomain string
	// Attempt is its attempt number.
	Attempt int
	// State is its state.
	State string
}

// Waiting is a task that waits.
type Waiting struct {
	// Organisation owns the task.
	Organisation string
	// Task is its id.
	Task string
	// Reason names why it waits.
	Reason placer.ReasonCode
	// Detail gives the exact reason.
	Detail string
}

// Use is what an organisation uses.
type Use struct {
	// Organisation is the organisation.
	Organisation string
	// Used is the sum of its tasks.
	Used placer.Size
}

// Quarantine is a worker that takes no tasks because it failed several.
type Quarantine struct {
	// Worker is the worker.
	Worker string
	// FailureDomain is its failure domain.
	FailureDomain string
	// Since is when it began.
	Since time.Time
	// Reason tells why.
	Reason string
}

// Lease is a lease that lapses soon.
type Lease struct {
	// Name tells what is held, such as a cell or a seat.
	Name string
	// Holder is the process that holds it.
	Holder string
	// Remaining is the time until it lapses.
	Remaining time.Duration
}

// CutOff is a failure domain that a process can't reach.
type CutOff struct {
	// FailureDomain is the failure domain.
	FailureDomain string
	// SeenBy is the process that can't reach it.
	SeenBy string
	// Since is when it last answered.
	Since time.Time
}

// Peers are the other entry VMs.
type Peers interface {
	// Peers returns the entry VMs that are known, reachable or not.
	Peers() []Peer
}

// Peer is another entry VM.
type Peer struct {
	// VM is the entry VM.
	VM string
	// Connection reaches it. It may be nil.
	Connection grpc.ClientConnInterface
}

// Status is the state of the system as one process can see it.
type Status struct {
	Report

	// Revisions are the revisions in force by failure domain.
	Revisions []Revision
	// Quotas are the quotas with their use.
	Quotas []QuotaUse
	// Unreached names the entry VMs that did not answer, sorted.
	Unreached []string
	// StoreError tells why Revisions are missing, or is empty.
	StoreError string
}

// Revision is the configuration in force in a failure domain.
type Revision struct {
	// FailureDomain is the failure domain.
	FailureDomain string
	// Least is the least revision that an entry VM of it may run.
	Least int64
	// Behind names the entry VMs that have not confirmed the newest revision.
	Behind []string
	// VMs is the number of entry VMs that may run a configuration.
	VMs int
}

// QuotaUse is a quota with its use.
type QuotaUse struct {
	// Organisation is the organisation.
	Organisation string
	// Limit is its quota, zero if it has none.
	Limit placer.Size
	// Used is the sum of its tasks.
	Used placer.Size
}

// gather merges the reports of this process and of all peers that answer.
func (a *Administrator) gather(ctx context.Context, organisation string) Status {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var peers []Peer
	if a.Peers != nil {
		peers = a.Peers.Peers()
	}
	reports := make([]Report, len(peers)+1)
	reached := make([]bool, len(peers))
	var asking sync.WaitGroup
	for i, peer := range peers {
		asking.Go(func() { reports[i], reached[i] = ask(ctx, peer, organisation) })
	}
	reports[len(peers)] = a.Status.Report(ctx, organisation)
	status := Status{}
	status.Revisions, status.StoreError = a.revisions(ctx)
	asking.Wait()
	for _, report := range reports {
		status.Report = status.merged(report)
	}
	for i, peer := range peers {
		if !reached[i] {
			status.Unreached = append(status.Unreached, peer.VM)
		}
	}
	slices.Sort(status.Unreached)
	status.Quotas = quotaUses(a.Configurer.Current(), status.Uses, organisation)
	return status
}

func (r Report) merged(other Report) Report {
	return Report{
		Running:     slices.Concat(r.Running, other.Running),
		Waiting:     slices.Concat(r.Waiting, other.Waiting),
		Uses:        slices.Concat(r.Uses, other.Uses),
		Quarantined: slices.Concat(r.Quarantined, other.Quarantined),
		Leases:      slices.Concat(r.Leases, other.Leases),
		CutOff:      slices.Concat(r.CutOff, other.CutOff),
	}
}

func (a *Administrator) revisions(ctx context.Context) (revisions []Revision, storeError string) {
	members, err := a.Configurer.Members(ctx)
	if err != nil {
		return nil, err.Error()
	}
	newest := a.Configurer.Current().Revision
	for _, failureDomain := range a.FailureDomains {
		revisions = append(revisions, revisionOf(failureDomain, members, newest))
	}
	return revisions, ""
}

func revisionOf(failureDomain string, members []configurer.Member, newest int64) Revision {
	revision := Revision{FailureDomain: failureDomain, Least: newest}
	for _, member := range members {
		if member.FailureDomain != failureDomain {
			continue
		}
		revision.VMs++
		revision.Least = min(revision.Least, member.Revision)
		if member.Revision < newest {
			revision.Behind = append(revision.Behind, member.VM)
		}
	}
	if revision.VMs == 0 {
		revision.Least = 0
	}
	return revision
}

func quotaUses(configuration configurer.Configuration, uses []Use, organisation string) []QuotaUse {
	used := map[string]placer.Size{}
	limits := map[string]placer.Size{}
	names := map[string]bool{}
	for _, use := range uses {
		used[use.Organisation] = used[use.Organisation].Plus(use.Used)
		names[use.Organisation] = true
	}
	for _, quota := range configuration.Quotas {
		limits[quota.Organisation] = quota.Limit
		names[quota.Organisation] = true
	}
	var merged []QuotaUse
	for name := range names {
		if organisation == "" || name == organisation {
			merged = append(merged, QuotaUse{Organisation: name, Limit: limits[name], Used: used[name]})
		}
	}
	slices.SortFunc(merged, func(a, b QuotaUse) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return merged
}

// Register adds the service that tells the state of this process to the server.
func (a *Administrator) Register(server grpc.ServiceRegistrar) {
	administratorpb.RegisterStatusServer(server, &statusServer{administrator: a})
}

// statusServer answers administrators in other processes.
type statusServer struct {
	administratorpb.UnimplementedStatusServer

	administrator *Administrator
}

// Report implements administratorpb.StatusServer.
func (s *statusServer) Report(ctx context.Context, r *administratorpb.ReportRequest) (*administratorpb.ReportAnswer, error) {
	return reportAnswer(s.administrator.Status.Report(ctx, r.GetOrganisation())), nil
}

func ask(ctx context.Context, peer Peer, organisation string) (Report, bool) {
	if peer.Connection == nil {
		return Report{}, false
	}
	request := &administratorpb.ReportRequest{Organisation: organisation}
	answer, err := administratorpb.NewStatusClient(peer.Connection).Report(ctx, request)
	if err != nil {
		return Report{}, false
	}
	return reportFrom(answer), true
}

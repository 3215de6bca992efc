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
	"zinniashore.example/evacuator"
	"zinniashore.example/placer"
)

const statusTimeout = 2 * time.Second

// Reporter reports the state of one process and of the cells that it owns.
type Reporter interface {
	// Report returns the state, with the tasks and quotas limited to one organisation
	// unless organisation is empty.
	Report(ctx context.Context, organisation string) Report
}

// Report is the state of one process, or the merged state of several.
type Report struct {
	// Running are the tasks that are assigned to a worker.
	Running []Running
	// Waiting are the tasks that wait to be placed.
	Waiting []Waiting
	// Uses are the resources that organisations use in the cells of the process.
	Uses []Use
	// Quarantined are the workers that receive no tasks because of failures.
	Quarantined []Quarantine
	// Leases are the leases that expire soon.
	Leases []Lease
	// CutOff are the failure domains that the process can't reach.
	CutOff []CutOff
}

// Running is a task that is assigned to a worker.
type Running struct {
	// Organisation owns the task.
	Organisation string
	// Task is its id.
	Task string
	// Template is the name of the task's template.
	Template string
	// Worker is the worker on which the task may be running.
	Worker string
	// FailureDomain is the failure domain of the worker.
	FailureDomain string
	// Attempt is the attempt number of the run.
	Attempt int
	// State is the state of the task.
	State string
}

// Waiting is a task that waits to be placed.
type Waiting struct {
	// Organisation owns the task.
	Organisation string
	// Task is its id.
	Task string
	// Reason is the code of the reason that the task waits.
	Reason placer.ReasonCode
	// Detail is the reason in words, with its figures.
	Detail string
}

// Use is the amount of resources that an organisation uses.
type Use struct {
	// Organisation is the organisation.
	Organisation string
	// Used is the sum of its tasks.
	Used placer.Size
}

// Quarantine is a worker that receives no tasks because several tasks failed on it.
type Quarantine struct {
	// Worker is the worker.
	Worker string
	// FailureDomain is its failure domain.
	FailureDomain string
	// Since is the start of the quarantine.
	Since time.Time
	// Reason is the reason of the quarantine.
	Reason string
}

// Lease is a lease that expires soon.
type Lease struct {
	// Name is what the lease covers, such as a cell or a seat.
	Name string
	// Holder is the process that holds the lease.
	Holder string
	// Remaining is the time until the lease expires.
	Remaining time.Duration
}

// CutOff is a failure domain that a process can't reach.
type CutOff struct {
	// FailureDomain is the failure domain.
	FailureDomain string
	// SeenBy is the process that can't reach the failure domain.
	SeenBy string
	// Since is the time of the last answer from the failure domain.
	Since time.Time
}

// Peers lists the other entry VMs.
type Peers interface {
	// Peers returns all known entry VMs, including unreachable ones.
	Peers() []Peer
}

// Peer is another entry VM.
type Peer struct {
	// VM is the name of the entry VM.
	VM string
	// Connection is the connection to the entry VM, or nil if there is none.
	Connection grpc.ClientConnInterface
}

// Status is the state of the system as observed by one process.
type Status struct {
	Report

	// Revisions are the revisions in force by failure domain.
	Revisions []Revision
	// Quotas are the quotas and their usage.
	Quotas []QuotaUse
	// Evacuations are the evacuations, sorted by failure domain.
	Evacuations []evacuator.Evacuation
	// Unreached are the sorted names of the entry VMs that did not answer.
	Unreached []string
	// StoreError is the error for which Revisions or Evacuations is missing, or empty.
	StoreError string
}

// Revision is the configuration in force in a failure domain.
type Revision struct {
	// FailureDomain is the failure domain.
	FailureDomain string
	// MinRevision is the lowest revision that an entry VM of the failure domain may run.
	MinRevision int64
	// Behind are the names of the entry VMs that have not confirmed the newest
	// revision.
	Behind []string
	// VMs is the number of entry VMs of the failure domain that may run a
	// configuration.
	VMs int
}

// QuotaUse is the quota of an organisation and its usage.
type QuotaUse struct {
	// Organisation is the organisation.
	Organisation string
	// Limit is the quota of the organisation, or zero if it has none.
	Limit placer.Size
	// Used is the sum of its tasks.
	Used placer.Size
}

// collectStatus merges the reports of this process and of all peers that answer within
// statusTimeout.
func (a *Administrator) collectStatus(ctx context.Context, organisation string) Status {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var peers []Peer
	if a.Peers != nil {
		peers = a.Peers.Peers()
	}
	reports := make([]Report, len(peers)+1)
	reached := make([]bool, len(peers))
	var requests sync.WaitGroup
	for i, peer := range peers {
		requests.Go(func() { reports[i], reached[i] = requestReport(ctx, peer, organisation) })
	}
	reports[len(peers)] = a.Status.Report(ctx, organisation)
	status := Status{}
	status.Revisions, status.StoreError = a.revisions(ctx)
	evacuations, err := a.Evacuator.List(ctx)
	if err != nil {
		status.StoreError = err.Error()
	}
	status.Evacuations = evacuations
	requests.Wait()
	for _, report := range reports {
		status.Report = status.merge(report)
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

func (r Report) merge(other Report) Report {
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
	revision := Revision{FailureDomain: failureDomain, MinRevision: newest}
	for _, member := range members {
		if member.FailureDomain != failureDomain {
			continue
		}
		revision.VMs++
		revision.MinRevision = min(revision.MinRevision, member.Revision)
		if member.Revision < newest {
			revision.Behind = append(revision.Behind, member.VM)
		}
	}
	if revision.VMs == 0 {
		revision.MinRevision = 0
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

// Register registers the gRPC service that reports the state of this process.
func (a *Administrator) Register(server grpc.ServiceRegistrar) {
	administratorpb.RegisterStatusServer(server, &statusServer{administrator: a})
}

// statusServer serves status requests from the administrators of other processes.
type statusServer struct {
	administratorpb.UnimplementedStatusServer

	administrator *Administrator
}

// Report implements administratorpb.StatusServer.
func (s *statusServer) Report(ctx context.Context, r *administratorpb.ReportRequest) (*administratorpb.ReportAnswer, error) {
	return encodeReport(s.administrator.Status.Report(ctx, r.GetOrganisation())), nil
}

// requestReport requests the report of a peer. It returns false if the peer is not
// connected or does not answer.
func requestReport(ctx context.Context, peer Peer, organisation string) (Report, bool) {
	if peer.Connection == nil {
		return Report{}, false
	}
	request := &administratorpb.ReportRequest{Organisation: organisation}
	answer, err := administratorpb.NewStatusClient(peer.Connection).Report(ctx, request)
	if err != nil {
		return Report{}, false
	}
	return decodeReport(answer), true
}

package zinniashore

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/administrator"
	"zinniashore.example/configurer"
	"zinniashore.example/keeper"
	"zinniashore.example/loader"
	"zinniashore.example/owner"
	"zinniashore.example/placer"
	"zinniashore.example/recorder"
	"zinniashore.example/seater"
)

// leaseWarningShare is the fraction of a lease at which the remaining time is reported.
const leaseWarningShare = 0.4

// reporter reports the state of this process to the administration.
type reporter struct {
	clock         clockwork.Clock
	process       string
	failureDomain string
	session       *keeper.Session
	owner         *owner.Owner
	seater        *seater.Seater
}

// Report implements administrator.Reporter.
func (r *reporter) Report(_ context.Context, organisation string) administrator.Report {
	report := administrator.Report{
		Leases: r.leases(),
		CutOff: r.cutOff(),
	}
	for _, cell := range r.owner.Status().Cells {
		r.addTasks(&report, cell, organisation)
		r.addWorkers(&report, cell)
	}
	return report
}

func (r *reporter) addTasks(report *administrator.Report, cell owner.CellStatus, organisation string) {
	used := map[string]placer.Size{}
	for _, task := range cell.Tasks {
		taskOrganisation, _, _ := strings.Cut(task.Task, "/")
		if organisation != "" && organisation != taskOrganisation {
			continue
		}
		used[taskOrganisation] = used[taskOrganisation].Plus(task.Reserved)
		id := strings.TrimPrefix(task.Task, taskOrganisation+"/")
		if task.Worker == "" {
			report.Waiting = append(report.Waiting, administrator.Waiting{
				Organisation: taskOrganisation,
				Task:         id,
				Reason:       task.Code,
				Detail:       task.Reason,
			})
			continue
		}
		report.Running = append(report.Running, administrator.Running{
			Organisation:  taskOrganisation,
			Task:          id,
			Worker:        task.Worker,
			FailureDomain: r.failureDomain,
			Attempt:       int(task.Attempt),
			State:         task.State,
		})
	}
	for user, size := range used {
		report.Uses = append(report.Uses, administrator.Use{Organisation: user, Used: size})
	}
}

func (r *reporter) addWorkers(report *administrator.Report, cell owner.CellStatus) {
	for _, worker := range cell.Workers {
		if worker.State == placer.WorkerQuarantined {
			report.Quarantined = append(report.Quarantined, administrator.Quarantine{
				Worker:        worker.Worker,
				FailureDomain: r.failureDomain,
				Since:         worker.Quarantined,
				Reason:        "several distinct tasks failed there",
			})
		}
	}
}

func (r *reporter) leases() []administrator.Lease {
	remaining := r.session.ValidUntil().Sub(r.clock.Now())
	if remaining > time.Duration(leaseWarningShare*float64(r.session.TTL)) {
		return nil
	}
	return []administrator.Lease{{Name: "store session", Holder: r.process, Remaining: remaining}}
}

// cutOff returns the other failure domains from which no entry VM answers.
func (r *reporter) cutOff() []administrator.CutOff {
	alive := map[string]bool{r.failureDomain: true}
	since := map[string]time.Time{}
	for _, m := range r.seater.Members() {
		if m.Alive {
			alive[m.FailureDomain] = true
		}
		if m.Since.After(since[m.FailureDomain]) {
			since[m.FailureDomain] = m.Since
		}
	}
	var cutOff []administrator.CutOff
	for failureDomain, last := range since {
		if !alive[failureDomain] {
			cutOff = append(cutOff, administrator.CutOff{FailureDomain: failureDomain, SeenBy: r.process, Since: last})
		}
	}
	return cutOff
}

// releasingConfigurer releases an entry VM from both the seats and the configuration.
type releasingConfigurer struct {
	*configurer.Configurer

	seater *seater.Seater
}

// Release implements administrator.Configurer.
func (r releasingConfigurer) Release(ctx context.Context, vm, operator string) error {
	err := r.seater.Release(ctx, vm)
	var alive *seater.AliveError
	if errors.As(err, &alive) {
		return &configurer.AliveError{VM: alive.VM}
	}
	if err != nil {
		return err
	}
	return r.Configurer.Release(ctx, vm, operator)
}

// administratorPeers lists the members that the seater knows as peers of the
// administration.
type administratorPeers struct{ seater *seater.Seater }

// Peers implements administrator.Peers.
func (a administratorPeers) Peers() []administrator.Peer {
	var peers []administrator.Peer
	for _, m := range a.seater.Members() {
		peers = append(peers, administrator.Peer{VM: m.VM, Connection: m.Connection})
	}
	return peers
}

// recorderPeers lists the members that the seater knows as peers of the time line.
type recorderPeers struct{ seater *seater.Seater }

// Peers implements recorder.Peers.
func (r recorderPeers) Peers() []recorder.Peer {
	var peers []recorder.Peer
	for _, m := range r.seater.Members() {
		peers = append(peers, recorder.Peer{Name: m.VM, Connection: m.Connection})
	}
	return peers
}

// administratorTokens converts the tokens of the settings for the administration.
func administratorTokens(tokens []loader.Token) administrator.Tokens {
	var converted administrator.Tokens
	for _, token := range tokens {
		known := administrator.Token{Name: token.Organisation, Secret: administrator.Secret(token.Secret)}
		if token.Role == loader.TokenOperator {
			known.Name = "operator"
			converted.Operators = append(converted.Operators, known)
			continue
		}
		converted.Organisations = append(converted.Organisations, known)
	}
	return converted
}

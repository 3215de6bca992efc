package zinniashore

import (
	"zinniashore.example/administrator"
	"zinniashore.example/configurer"
	"zinniashore.example/deduper"
	"zinniashore.example/estimator"
	"zinniashore.example/evacuator"
	"zinniashore.example/keeper"
	"zinniashore.example/lister"
	"zinniashore.example/owner"
	"zinniashore.example/placer"
	"zinniashore.example/recorder"
	"zinniashore.example/router"
	"zinniashore.example/seater"
	"zinniashore.example/submitter"
)

func (s *Server) buildShared() {
	store := keeper.NewClient(s.Settings.Store.Address)
	s.recorder = &recorder.Recorder{
		Clock:         s.Clock,
		Process:       s.Settings.Process,
		FailureDomain: s.Settings.FailureDomain,
	}
	s.session = &keeper.Session{
		Store:       store,
		Clock:       s.Clock,
		Process:     s.incarnation,
		TTL:         s.Settings.Store.Lease,
		Renewal:     s.Settings.Store.Renewal,
		DriftMargin: s.Settings.Store.DriftMargin,
	}
	s.mirror = &keeper.Mirror{Store: store, Clock: s.Clock, Prefix: keeper.WatchedPrefix}
	s.lister = &lister.Lister{
		Address: s.Settings.Platform.Address,
		Clock:   s.Clock,
		Period:  s.Settings.Platform.Period,
	}
}

// keeper returns a Keeper for one role. Each role has its own writer name, because each
// Keeper counts the sequence numbers of its writes by itself.
func (s *Server) keeper(role string) *keeper.Keeper {
	return &keeper.Keeper{Store: s.session.Store, Clock: s.Clock, Writer: s.incarnation + "/" + role}
}

func (s *Server) buildRoles() {
	s.buildSeats()
	s.listedPeers = &listedPeers{
		known:         configurerPeers{seater: s.seater},
		vms:           s.listedVMs,
		failureDomain: s.Settings.FailureDomain,
	}
	s.configurer = &configurer.Configurer{
		Clock:          s.Clock,
		Keeper:         s.keeper("configurer"),
		Mirror:         s.mirror,
		Recorder:       s.recorder,
		Metrics:        s.meter.Scope,
		Process:        s.incarnation,
		VM:             s.Settings.Process,
		FailureDomain:  s.Settings.FailureDomain,
		FailureDomains: s.Settings.FailureDomains,
		Peers:          s.listedPeers,
	}
	s.evacuator = &evacuator.Evacuator{
		Keeper:         s.keeper("evacuator"),
		Mirror:         s.mirror,
		Clock:          s.Clock,
		Recorder:       s.recorder,
		FailureDomains: s.Settings.FailureDomains,
	}
	s.buildOwner()
	s.buildRouter()
	s.buildAdministrator()
}

func (s *Server) buildSeats() {
	s.seater = &seater.Seater{
		Clock:              s.Clock,
		Keeper:             s.keeper("seater"),
		Session:            s.session,
		Mirror:             s.mirror,
		Recorder:           s.recorder,
		Metrics:            s.meter.Scope,
		VM:                 s.Settings.Process,
		Incarnation:        s.incarnation,
		FailureDomain:      s.Settings.FailureDomain,
		Address:            s.peerListener.Addr().String(),
		FailureDomains:     s.Settings.FailureDomains,
		Seats:              s.Settings.Seats.Count,
		PromiseLength:      s.Settings.Seats.Promise,
		MaxRequestDuration: s.Settings.Requests.MaxDuration,
		Heartbeat:          s.Settings.Seats.Heartbeat,
		DriftMargin:        s.Settings.Store.DriftMargin,
	}
	s.deduper = &deduper.Deduper{
		Clock:    s.Clock,
		Recorder: s.recorder,
		Window:   s.Settings.Requests.KeyWindow,
		Limit:    s.Settings.Requests.Keys,
		Homes:    s.seater,
	}
}

func (s *Server) buildOwner() {
	s.owner = &owner.Owner{
		Clock:         s.Clock,
		Keeper:        s.keeper("owner"),
		Session:       s.session,
		Mirror:        s.mirror,
		Recorder:      s.recorder,
		Metrics:       s.meter.Scope.SubScope("tasks"),
		Process:       s.incarnation,
		FailureDomain: s.Settings.FailureDomain,
		Cells:         ownerCells(s.Settings.Cells),
		Workers:       workerList{lister: s.lister},
		Workloads:     workloads{configurer: s.configurer, cells: s.Settings.Cells},
		Evacuations:   s.evacuator,
		Decider:       &placer.Placer{},
		Learner:       usageLearner{estimator: &estimator.Estimator{}},
		TaskLease:     s.Settings.Tasks.Lease,
		Renewal:       s.Settings.Tasks.Renewal,
		Period:        s.Settings.Tasks.Period,
		Drain:         s.Settings.Tasks.Drain,
	}
}

func (s *Server) buildRouter() {
	s.router = &router.Router{
		Clock:              s.Clock,
		Recorder:           s.recorder,
		Metrics:            s.meter.Scope,
		VM:                 s.Settings.Process,
		FailureDomain:      s.Settings.FailureDomain,
		Shares:             readyShares{seater: s.seater, configurer: s.configurer},
		Keys:               requestKeys{seater: s.seater, deduper: s.deduper},
		Peers:              routerPeers{seater: s.seater},
		Authorizer:         authorizer(s.Settings.Tokens),
		MaxRequestDuration: s.Settings.Requests.MaxDuration,
		MaxBodyBytes:       s.Settings.Requests.BodyBytes,
		MaxAnswerBytes:     s.Settings.Requests.AnswerBytes,
		QueueLength:        s.Settings.Requests.Queue,
	}
}

func (s *Server) buildAdministrator() {
	s.administrator = &administrator.Administrator{
		Clock:      s.Clock,
		Configurer: releasingConfigurer{Configurer: s.configurer, seater: s.seater},
		Submitter:  &submitter.Submitter{Keeper: s.keeper("submitter"), Clock: s.Clock},
		Cells:      &cellChooser{cells: ownerCells(s.Settings.Cells), workers: workerList{lister: s.lister}, mirror: s.mirror, evacuations: s.evacuator},
		Evacuator:  s.evacuator,
		Status: &reporter{
			clock:         s.Clock,
			process:       s.Settings.Process,
			failureDomain: s.Settings.FailureDomain,
			session:       s.session,
			owner:         s.owner,
			seater:        s.seater,
		},
		TimeLine:       &recorder.Collector{Recorder: s.recorder, Peers: recorderPeers{seater: s.seater}},
		Peers:          administratorPeers{seater: s.seater},
		FailureDomains: s.Settings.FailureDomains,
		Tokens:         administratorTokens(s.Settings.Tokens),
	}
}

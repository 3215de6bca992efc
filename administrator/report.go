package administrator

import (
	"time"

	"zinniashore.example/administrator/administratorpb"
	"zinniashore.example/placer"
)

func encodeReport(r Report) *administratorpb.ReportAnswer {
	m := &administratorpb.ReportAnswer{}
	for _, t := range r.Running {
		m.Running = append(m.Running, &administratorpb.Running{
			Organisation: t.Organisation, Task: t.Task, Template: t.Template, Worker: t.Worker,
			FailureDomain: t.FailureDomain, Attempt: int64(t.Attempt), State: t.State,
		})
	}
	for _, t := range r.Waiting {
		m.Waiting = append(m.Waiting, &administratorpb.Waiting{
			Organisation: t.Organisation, Task: t.Task, Reason: string(t.Reason), Detail: t.Detail,
		})
	}
	for _, u := range r.Uses {
		m.Quotas = append(m.Quotas, &administratorpb.Use{Organisation: u.Organisation, Used: encodeSize(u.Used)})
	}
	for _, q := range r.Quarantined {
		m.Quarantined = append(m.Quarantined, &administratorpb.Quarantine{
			Worker: q.Worker, FailureDomain: q.FailureDomain, Since: q.Since.UnixNano(), Reason: q.Reason,
		})
	}
	for _, l := range r.Leases {
		m.Leases = append(m.Leases, &administratorpb.Lease{Name: l.Name, Holder: l.Holder, Remaining: int64(l.Remaining)})
	}
	for _, c := range r.CutOff {
		m.CutOff = append(m.CutOff, &administratorpb.CutOff{FailureDomain: c.FailureDomain, SeenBy: c.SeenBy, Since: c.Since.UnixNano()})
	}
	return m
}

func decodeReport(m *administratorpb.ReportAnswer) Report {
	var r Report
	for _, t := range m.GetRunning() {
		r.Running = append(r.Running, Running{
			Organisation: t.GetOrganisation(), Task: t.GetTask(), Template: t.GetTemplate(), Worker: t.GetWorker(),
			FailureDomain: t.GetFailureDomain(), Attempt: int(t.GetAttempt()), State: t.GetState(),
		})
	}
	for _, t := range m.GetWaiting() {
		r.Waiting = append(r.Waiting, Waiting{
			Organisation: t.GetOrganisation(), Task: t.GetTask(), Reason: placer.ReasonCode(t.GetReason()), Detail: t.GetDetail(),
		})
	}
	for _, u := range m.GetQuotas() {
		r.Uses = append(r.Uses, Use{Organisation: u.GetOrganisation(), Used: decodeSize(u.GetUsed())})
	}
	for _, q := range m.GetQuarantined() {
		r.Quarantined = append(r.Quarantined, Quarantine{
			Worker: q.GetWorker(), FailureDomain: q.GetFailureDomain(), Since: time.Unix(0, q.GetSince()), Reason: q.GetReason(),
		})
	}
	for _, l := range m.GetLeases() {
		r.Leases = append(r.Leases, Lease{Name: l.GetName(), Holder: l.GetHolder(), Remaining: time.Duration(l.GetRemaining())})
	}
	for _, c := range m.GetCutOff() {
		r.CutOff = append(r.CutOff, CutOff{FailureDomain: c.GetFailureDomain(), SeenBy: c.GetSeenBy(), Since: time.Unix(0, c.GetSince())})
	}
	return r
}

func encodeSize(s placer.Size) *administratorpb.Size {
	return &administratorpb.Size{Processors: s.Processors, Memory: s.Memory, Accelerators: s.Accelerators}
}

func decodeSize(m *administratorpb.Size) placer.Size {
	return placer.Size{Processors: m.GetProcessors(), Memory: m.GetMemory(), Accelerators: m.GetAccelerators()}
}

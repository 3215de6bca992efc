package recorder

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"zinniashore.example/recorder/recorderpb"
)

// Register registers the service that returns the events of this process.
func (r *Recorder) Register(server grpc.ServiceRegistrar) {
	recorderpb.RegisterTimeLineServer(server, &timeLineServer{recorder: r})
}

// timeLineServer serves the events of this process to collectors in other processes.
type timeLineServer struct {
	recorderpb.UnimplementedTimeLineServer

	recorder *Recorder
}

// Events implements recorderpb.TimeLineServer.
func (s *timeLineServer) Events(_ context.Context, request *recorderpb.EventsRequest) (*recorderpb.EventsAnswer, error) {
	answer := &recorderpb.EventsAnswer{}
	for _, event := range filterFrom(request).Select(s.recorder.Events()) {
		answer.Events = append(answer.Events, eventMessage(event))
	}
	return answer, nil
}

func filterRequest(f Filter) *recorderpb.EventsRequest {
	return &recorderpb.EventsRequest{
		Kind:         string(f.Kind),
		Organisation: f.Organisation,
		Task:         f.Task,
		Key:          f.Key,
		Since:        nanoseconds(f.Since),
		Until:        nanoseconds(f.Until),
		Limit:        int64(f.Limit),
	}
}

func filterFrom(m *recorderpb.EventsRequest) Filter {
	return Filter{
		Kind:         Kind(m.GetKind()),
		Organisation: m.GetOrganisation(),
		Task:         m.GetTask(),
		Key:          m.GetKey(),
		Since:        timeFrom(m.GetSince()),
		Until:        timeFrom(m.GetUntil()),
		Limit:        int(m.GetLimit()),
	}
}

func nanoseconds(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func timeFrom(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}

func eventMessage(e Event) *recorderpb.Event {
	return &recorderpb.Event{
		Wall: e.Time.Wall, Counter: e.Time.Counter,
		Process: e.Process, FailureDomain: e.FailureDomain, Kind: string(e.Kind),
		Organisation: e.Organisation, Revision: e.Revision,
		Cell: e.Cell, Epoch: e.Epoch, Vm: e.VM,
		Task: e.Task, Attempt: int64(e.Attempt), Key: e.Key, Detail: e.Detail,
	}
}

func eventFrom(m *recorderpb.Event) Event {
	return Event{
		Time:    Timestamp{Wall: m.GetWall(), Counter: m.GetCounter()},
		Process: m.GetProcess(), FailureDomain: m.GetFailureDomain(), Kind: Kind(m.GetKind()),
		Organisation: m.GetOrganisation(), Revision: m.GetRevision(),
		Cell: m.GetCell(), Epoch: m.GetEpoch(), VM: m.GetVm(),
		Task: m.GetTask(), Attempt: int(m.GetAttempt()), Key: m.GetKey(), Detail: m.GetDetail(),
	}
}

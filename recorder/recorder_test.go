package recorder_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sebdah/goldie/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"pgregory.net/rapid"

	"zinniashore.example/recorder"
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// TestMergeIsCausal checks that an event comes after every event that it may depend on,
// whatever the skew of the clocks.
func TestMergeIsCausal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes = 4
		var recorders []*recorder.Recorder
		var clocks []*clockwork.FakeClock
		known := make([]map[string]bool, processes)
		for i := range processes {
			skew := time.Duration(rapid.IntRange(-20, 20).Draw(t, "skew")) * time.Second
			clocks = append(clocks, clockwork.NewFakeClockAt(epoch.Add(skew)))
			recorders = append(recorders, &recorder.Recorder{Clock: clocks[i], Process: fmt.Sprint(i)})
			known[i] = map[string]bool{}
		}
		before := map[string][]string{}
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			from := rapid.IntRange(0, processes-1).Draw(t, "from")
			to := rapid.IntRange(0, processes-1).Draw(t, "to")
			clocks[from].Advance(time.Duration(rapid.IntRange(0, 3).Draw(t, "wait")) * time.Millisecond)
			task := fmt.Sprint(n)
			for earlier := range known[from] {
				before[task] = append(before[task], earlier)
			}
			recorders[from].Record(recorder.Event{Kind: "step", Task: task})
			known[from][task] = true
			recorders[to].Observe(recorders[from].Stamp())
			for earlier := range known[from] {
				known[to][earlier] = true
			}
		}
		var lists [][]recorder.Event
		for _, r := range recorders {
			lists = append(lists, r.Events())
		}
		seen := map[string]bool{}
		for _, event := range recorder.Merge(lists...) {
			for _, earlier := range before[event.Task] {
				if !seen[earlier] {
					t.Fatalf("event %s comes before event %s that it depends on", event.Task, earlier)
				}
			}
			seen[event.Task] = true
		}
	})
}

// TestObserveBoundsLead checks that a timestamp of a peer whose clock is too far ahead
// is ignored.
func TestObserveBoundsLead(t *testing.T) {
	r := &recorder.Recorder{Clock: clockwork.NewFakeClockAt(epoch)}
	r.Observe(recorder.Timestamp{Wall: epoch.Add(recorder.MaxLead + 1).UnixNano()})
	if got := r.Stamp().Wall; got != epoch.UnixNano() {
		t.Errorf("clock at %d, want %d", got, epoch.UnixNano())
	}
}

func TestRecordKeepsNewest(t *testing.T) {
	r := &recorder.Recorder{Clock: clockwork.NewFakeClockAt(epoch), Capacity: 3}
	for i := range 8 {
		r.Record(recorder.Event{Task: fmt.Sprint(i)})
	}
	var tasks []string
	for _, event := range r.Events() {
		tasks = append(tasks, event.Task)
	}
	if want := []string{"5", "6", "7"}; !slices.Equal(tasks, want) {
		t.Errorf("kept %v, want %v", tasks, want)
	}
}

func TestFilter(t *testing.T) {
	events := []recorder.Event{
		{Kind: "a", Organisation: "moka", Task: "1", Time: recorder.Timestamp{Wall: 10}},
		{Kind: "b", Organisation: "moka", Key: "k", Time: recorder.Timestamp{Wall: 20}},
		{Kind: "a", Organisation: "stockwerk", Task: "1", Time: recorder.Timestamp{Wall: 30}},
	}
	cases := map[string]struct {
		filter recorder.Filter
		want   []int64
	}{
		"all":          {want: []int64{10, 20, 30}},
		"kind":         {filter: recorder.Filter{Kind: "a"}, want: []int64{10, 30}},
		"organisation": {filter: recorder.Filter{Organisation: "moka"}, want: []int64{10, 20}},
		"task":         {filter: recorder.Filter{Task: "1", Organisation: "moka"}, want: []int64{10}},
		"key":          {filter: recorder.Filter{Key: "k"}, want: []int64{20}},
		"time":         {filter: recorder.Filter{Since: time.Unix(0, 20), Until: time.Unix(0, 30)}, want: []int64{20}},
		"limit":        {filter: recorder.Filter{Limit: 2}, want: []int64{20, 30}},
		"none":         {filter: recorder.Filter{Key: "x"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var got []int64
			for _, event := range c.filter.Select(events) {
				got = append(got, event.Time.Wall)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("Select: %v, want %v", got, c.want)
			}
		})
	}
}

type peers []recorder.Peer

func (p peers) Peers() []recorder.Peer { return p }

// serve serves the recorder r on loopback and returns a connection from client to it.
func serve(t *testing.T, client, r *recorder.Recorder) (*grpc.ClientConn, *grpc.Server) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(grpc.UnaryInterceptor(r.UnaryServerInterceptor()))
	r.Register(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	connection, err := grpc.NewClient(listener.Addr().String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithUnaryInterceptor(client.UnaryClientInterceptor()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return connection, server
}

// TestCollect checks that a collected time line merges the events of reachable
// processes, names the unreachable ones, and that the calls synchronise the clocks in
// both directions.
func TestCollect(t *testing.T) {
	here := &recorder.Recorder{Clock: clockwork.NewFakeClockAt(epoch), Process: "here", FailureDomain: "graz-a"}
	ahead := &recorder.Recorder{Clock: clockwork.NewFakeClockAt(epoch.Add(5 * time.Second)), Process: "ahead", FailureDomain: "graz-b"}
	ahead.Record(recorder.Event{Kind: "started", Organisation: "stockwerk", Task: "fit-1", Attempt: 2, Cell: "graz-b/0", Epoch: 3, VM: "w1", Revision: 4, Key: "k", Detail: "x"})
	connection, _ := serve(t, here, ahead)
	gone, server := serve(t, here, ahead)
	server.Stop()
	c := &recorder.Collector{Recorder: here, Peers: peers{{Name: "ahead", Connection: connection}, {Name: "gone", Connection: gone}, {Name: "unknown"}}}
	(&recorder.Collector{Recorder: here, Peers: peers{{Connection: connection}}}).Collect(context.Background(), recorder.Filter{})
	here.Record(recorder.Event{Kind: "ended", Organisation: "stockwerk", Task: "fit-1"})
	here.Record(recorder.Event{Kind: "ended", Organisation: "moka", Task: "sort-1"})
	line := c.Collect(context.Background(), recorder.Filter{Organisation: "stockwerk"})
	text, err := recorder.EncodeTimeLine(line)
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "time_line", text)
	decoded, err := recorder.DecodeTimeLine(text)
	if err != nil || !slices.Equal(decoded.Events, line.Events) || !slices.Equal(decoded.Unreached, line.Unreached) {
		t.Errorf("DecodeTimeLine: %+v, %v, want %+v", decoded, err, line)
	}
}

func BenchmarkRecord(b *testing.B) {
	r := &recorder.Recorder{Clock: clockwork.NewRealClock(), Process: "p", FailureDomain: "graz-a"}
	event := recorder.Event{Kind: "started", Organisation: "stockwerk", Task: "fit-1", Attempt: 2, Cell: "graz-b/0", Epoch: 3, VM: "w1"}
	b.ReportAllocs()
	for b.Loop() {
		r.Record(event)
	}
}

func BenchmarkRecordParallel(b *testing.B) {
	r := &recorder.Recorder{Clock: clockwork.NewRealClock(), Process: "p", FailureDomain: "graz-a"}
	event := recorder.Event{Kind: "started", Organisation: "stockwerk", Task: "fit-1", Attempt: 2, Cell: "graz-b/0", Epoch: 3, VM: "w1"}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Record(event)
		}
	})
}

package zinniashore

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"zinniashore.example/dispatcher"
	"zinniashore.example/platform"
	"zinniashore.example/standin"
)

var (
	restartSeed = flag.Uint64("restarts.seed", 1, "first seed of TestJobsThroughRestarts")
	restartRuns = flag.Uint64("restarts.seeds", 1, "number of seeds of TestJobsThroughRestarts")
	restartTime = flag.Duration("restarts.time", 6*time.Second, "time of the restarts in each run of TestJobsThroughRestarts")
)

// restartDomains are the failure domains of a restartRun.
var restartDomains = []string{"graz-a", "graz-b"}

const (
	// restartStay and restartDrain are how long the workers of a domain stay at most, and how long they drain, and are away.
	restartStay, restartDrain = 4 * time.Second, 3 * time.Second
	// restartSettling is the time after the restarts within which every job is where it has to be. A job that nobody holds
	// never is; how fast the others are isn't judged here.
	restartSettling = time.Minute
	// restartAnswer is the longest time in which an entry VM that serves answers a client.
	restartAnswer        = 3 * time.Second
	restartConfiguration = `{"version":3,"routes":[{"name":"orders","host":"127.0.0.1","prefix":"/orders/","timeout-ms":3000,` +
		`"target-duration-ms":500,"service":"shop","max-attempts":3,"stretch":1.5}],"services":[{"name":"shop"}],"limits":{}}`
	// restartLong begins the ids of long-running jobs.
	restartLong = "f"
	// maxRestartLong is how many long-running jobs a client submits, so that all have a place.
	maxRestartLong = 4
)

// restartJob is a job as its client knows it.
type restartJob struct {
	id    string
	tasks int
	// cancelSent is true once a cancellation was sent, cancelled once one was acknowledged.
	cancelSent, cancelled bool
	// state is the newest state that was shown.
	state string
}

func (j *restartJob) longRunning() bool { return strings.HasPrefix(j.id, restartLong) }

// restartRun is a deployment of two failure domains with two entry VMs and two workers each, whose entry VMs stop
// gracefully and start again all the time.
type restartRun struct {
	t      *testing.T
	store  *standin.PlatformStore
	ledger *standin.PlatformLedger
	vms    []*restartVM
	// workers are the workers by failure domain.
	workers map[string][]*restartWorker

	mu   sync.Mutex
	jobs []*restartJob
}

// restartWorker is a worker that is registered.
type restartWorker struct {
	*standin.PlatformWorker
	address, domain string
}

// register registers a worker in a state.
func (r *restartRun) register(w *restartWorker, state string) {
	entry := standin.PlatformRegistration(w.address, w.domain, "shop")
	entry = bytes.Replace(entry, []byte(`"ready"`), fmt.Appendf(nil, `%q,"born":%d`, state, w.Born()), 1)
	r.store.Put(platform.RegistrationPrefix+w.ID, entry)
}

// leave has all workers of a failure domain drain, exit and start again, until a time.
func (r *restartRun) leave(rng *rand.Rand, until time.Time) {
	pause := func(limit time.Duration) { time.Sleep(limit/2 + rand.N(limit/2)) }
	for time.Now().Before(until) {
		leaving := r.workers[restartDomains[rng.IntN(len(restartDomains))]]
		pause(restartStay)
		for _, w := range leaving {
			r.register(w, "draining")
		}
		pause(restartDrain)
		for _, w := range leaving {
			w.SetDown(true)
			w.Restart()
			r.store.Remove(platform.RegistrationPrefix + w.ID)
		}
		pause(restartDrain)
		for _, w := range leaving {
			w.SetDown(false)
			r.register(w, "ready")
		}
	}
}

// restartVM is an entry VM.
type restartVM struct {
	settings platform.Settings
	mu       sync.Mutex
	stop     context.CancelFunc
	stopped  chan struct{}
}

func newRestartRun(t *testing.T) *restartRun {
	r := &restartRun{t: t, store: &standin.PlatformStore{PageItems: 3, KeepHistory: 4}, ledger: &standin.PlatformLedger{}, workers: map[string][]*restartWorker{}}
	address := r.listen(r.store)
	r.store.Put(platform.ConfigurationKey, []byte(restartConfiguration))
	for _, domain := range restartDomains {
		for number := range 2 {
			id := fmt.Sprintf("i-%s-%d", domain, number)
			worker := &standin.PlatformWorker{
				ID: id, Ledger: r.ledger, MaxLease: 10 * time.Second,
				LengthOf:    func(task string) time.Duration { return time.Duration(50+50*int(task[1]%8)) * time.Millisecond },
				LongRunning: func(task string) bool { return strings.HasPrefix(task, restartLong) },
			}
			registered := &restartWorker{PlatformWorker: worker, address: r.listen(worker), domain: domain}
			r.workers[domain] = append(r.workers[domain], registered)
			r.register(registered, "ready")
			r.vms = append(r.vms, &restartVM{settings: platform.Settings{
				Process: fmt.Sprintf("edge-%s-%d", domain, number), FailureDomain: domain, FailureDomains: restartDomains,
				ClientAddress: freeAddress(t), ReadinessAddress: freeAddress(t), PeerAddress: freeAddress(t), MetricsAddress: freeAddress(t),
				StoreAddress: address, MaxGrant: 10 * time.Second, StateRetention: time.Hour, ShutdownGrace: 6 * time.Second,
			}})
		}
	}
	return r
}

func (r *restartRun) listen(handler http.Handler) string {
	address, err := standin.Listen(r.t.Context(), "127.0.0.1:0", handler)
	if err != nil {
		r.t.Fatal(err)
	}
	return address
}

func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// start starts the entry VM.
func (v *restartVM) start(t *testing.T) {
	s := &Scheduler{Settings: v.settings, Clock: clockwork.NewRealClock()}
	if err := s.Listen(); err != nil {
		t.Error(err)
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	v.mu.Lock()
	v.stop, v.stopped = stop, stopped
	v.mu.Unlock()
	go func() {
		defer close(stopped)
		if err := s.Run(ctx); err != nil {
			t.Errorf("%s: %v", v.settings.Process, err)
		}
	}()
}

// end stops the entry VM gracefully.
func (v *restartVM) end() {
	v.mu.Lock()
	stop, stopped := v.stop, v.stopped
	v.mu.Unlock()
	stop()
	<-stopped
}

// restart stops and starts each of some entry VMs until a time, one group after the other.
func (r *restartRun) restart(rng *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		var group sync.WaitGroup
		for _, i := range rng.Perm(len(r.vms))[:1+rng.IntN(3)] {
			pause := time.Duration(rng.IntN(400)) * time.Millisecond
			group.Go(func() {
				time.Sleep(pause)
				r.vms[i].end()
				r.vms[i].start(r.t)
			})
		}
		group.Wait()
	}
}

// call sends a request to an entry VM and returns the status and the body; 0 if it got no answer.
func (r *restartRun) call(vm *restartVM, method, id, body string) (int, string) {
	ctx, cancel := context.WithTimeout(r.t.Context(), restartAnswer)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+vm.settings.ClientAddress+"/orders/"+id, bytes.NewBufferString(body))
	if err != nil {
		r.t.Error(err)
		return 0, ""
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	content, err := io.ReadAll(answer.Body)
	if err := errors.Join(err, answer.Body.Close()); err != nil {
		return 0, ""
	}
	return answer.StatusCode, string(content)
}

func (r *restartRun) anyVM(rng *rand.Rand) *restartVM { return r.vms[rng.IntN(len(r.vms))] }

// submit submits a job, again after each request without a clear answer, and reports whether it was accepted.
func (r *restartRun) submit(rng *rand.Rand, j *restartJob) bool {
	body := fmt.Sprintf(`{"spec":"s","phases":[{"count":%d,"cpu":500,"mem-mb":64,"estimate-ms":200,"long-running":%t}]}`, j.tasks, j.longRunning())
	for range 30 {
		switch status, _ := r.call(r.anyVM(rng), http.MethodPost, j.id, body); status {
		case http.StatusOK:
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// check asks for the state of a job and reports one that it can't have.
func (r *restartRun) check(rng *rand.Rand, j *restartJob) {
	vm := r.anyVM(rng)
	status, body := r.call(vm, http.MethodGet, j.id, "")
	switch {
	case status == http.StatusGone:
		r.t.Errorf("%s answers 410 for the accepted job %s", vm.settings.Process, j.id)
	case status != http.StatusOK:
		return
	}
	j.state = body
	wrong := strings.Contains(body, string(dispatcher.StateFailed)) || strings.Contains(body, string(dispatcher.StateCancelled)) && !j.cancelSent
	if wrong {
		r.t.Errorf("%s shows the job %s as %s", vm.settings.Process, j.id, body)
	}
}

// cancel sends a cancellation of a job.
func (r *restartRun) cancel(rng *rand.Rand, j *restartJob) {
	j.cancelSent = true
	if status, _ := r.call(r.anyVM(rng), http.MethodDelete, j.id, ""); status == http.StatusOK {
		j.cancelled = true
	}
}

// client submits jobs, asks for them and cancels some, until a time.
func (r *restartRun) client(rng *rand.Rand, until time.Time) {
	var own []*restartJob
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		j := &restartJob{id: fmt.Sprintf("%016x", rng.Uint64()>>1), tasks: 1 + rng.IntN(3)}
		if len(own)%12 == 5 && len(own) < maxRestartLong*12 {
			j.id = restartLong + j.id[1:]
		}
		if !r.submit(rng, j) {
			continue
		}
		own = append(own, j)
		r.check(rng, j)
		other := own[rng.IntN(len(own))]
		r.check(rng, other)
		if rng.IntN(8) == 0 {
			r.cancel(rng, other)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = append(r.jobs, own...)
}

// settled returns what a job lacks, empty if nothing.
func (r *restartRun) settled(rng *rand.Rand, j *restartJob) string {
	r.check(rng, j)
	running := 0
	for index := range j.tasks {
		running += r.ledger.Running(fmt.Sprintf("%s.0.0.%d", j.id, index))
	}
	final := strings.Contains(j.state, string(dispatcher.StateCompleted)) || strings.Contains(j.state, string(dispatcher.StateCancelled))
	switch {
	case j.cancelled && !final, !j.longRunning() && !final:
		return "is shown as " + j.state
	case j.longRunning() && !final && running != j.tasks:
		return fmt.Sprintf("runs %d of %d tasks", running, j.tasks)
	}
	return ""
}

// requireSettled fails for each job that isn't where it has to be in time.
func (r *restartRun) requireSettled(rng *rand.Rand) {
	open := map[*restartJob]string{}
	for _, j := range r.jobs {
		open[j] = "not checked"
	}
	for end := time.Now().Add(restartSettling); len(open) > 0 && time.Now().Before(end); {
		for _, j := range slices.Collect(maps.Keys(open)) {
			if open[j] = r.settled(rng, j); open[j] == "" {
				delete(open, j)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	for j, lack := range open {
		r.t.Errorf("the job %s (cancel sent %t, acknowledged %t) %s", j.id, j.cancelSent, j.cancelled, lack)
	}
}

// TestJobsThroughRestarts guards against accepted jobs that no process holds, or that are shown as unknown, failed or
// cancelled without cause, while all processes stop and start again, lists of the store have pages, its history is short and
// answers of it are lost.
func TestJobsThroughRestarts(t *testing.T) {
	for seed := *restartSeed; seed < *restartSeed+*restartRuns; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := newRestartRun(t)
			r.store.SetFaults(standin.PlatformFaults{LoseEvery: 9})
			for _, vm := range r.vms {
				vm.start(t)
			}
			defer func() {
				for _, vm := range r.vms {
					vm.end()
				}
			}()
			until := time.Now().Add(*restartTime)
			var group sync.WaitGroup
			activities := []func(*rand.Rand, time.Time){r.restart, r.leave, r.client, r.client, r.client, r.client}
			for number, act := range activities {
				rng := rand.New(rand.NewPCG(seed, uint64(number)))
				group.Go(func() { act(rng, until) })
			}
			group.Wait()
			r.store.SetFaults(standin.PlatformFaults{})
			r.requireSettled(rand.New(rand.NewPCG(seed, 5)))
			t.Logf("%d jobs accepted", len(r.jobs))
		})
	}
}

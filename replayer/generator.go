package replayer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"zinniashore.example/placer"
)

const (
	milliPerProcessor = 1000
	bytesPerGigabyte  = 1 << 30
	workersPerRack    = 8
)

// Cluster describes the workers of a generated trace.
type Cluster struct {
	// FailureDomains are the failure domains that the workers are divided among.
	FailureDomains []string
	// Workers is the number of workers.
	Workers int
	// Capacity is the capacity of each worker.
	Capacity placer.Size
}

// workers returns the workers of the cluster, ordered by failure domain and rack.
func (c Cluster) workers() []placer.Worker {
	workers := make([]placer.Worker, c.Workers)
	for i := range workers {
		domain := i * len(c.FailureDomains) / c.Workers
		workers[i] = placer.Worker{
			ID:            fmt.Sprintf("w%02d", i),
			FailureDomain: c.FailureDomains[domain],
			Rack:          fmt.Sprintf("rack%d", i/workersPerRack),
			Capacity:      c.Capacity,
			State:         placer.WorkerReady,
		}
	}
	return workers
}

// Arrivals describes a stream of batch tasks of one template.
type Arrivals struct {
	// Template is the name of the template.
	Template string
	// Count is the number of tasks.
	Count int
	// From and Until bound the submission times, since the start of the trace.
	From, Until time.Duration
	// Work is the median of the true run time.
	Work time.Duration
	// Waves is the number of bursts in which most of the tasks arrive, or zero if the
	// submissions are spread evenly.
	Waves int
	// Urgent marks the tasks as urgent.
	Urgent bool
}

// Parameters of the random draws. Spreads are standard deviations of the logarithm.
const (
	workSpread     = 0.5
	declaredSpread = 0.8
	factorSpread   = 0.1
	// factorBound is the maximum absolute logarithm of a task's size relative to its
	// template.
	factorBound = 0.2
	// waveWidth is the standard deviation of the submission times in a wave.
	waveWidth = 90 * time.Second
	// waveShare is the fraction of the tasks that arrives in waves.
	waveShare = 0.6
)

// Generator generates a trace with random events. Its exported fields must be set
// before use.
type Generator struct {
	// Seed is the seed of the random draws: equal seeds give equal events.
	Seed uint64
	// Cluster describes the workers.
	Cluster Cluster
	// Templates are the templates of the tasks.
	Templates []Template
	// Instances is the number of instances of each service template.
	Instances int
	// Arrivals are the streams of batch tasks.
	Arrivals []Arrivals

	random *rand.Rand
	events []Event
}

// Generate returns a trace of the given length with the tasks of the generator. It
// calls addEvents to add further events.
func (g *Generator) Generate(name string, length, step time.Duration, addEvents func(*Generator)) Trace {
	g.random = rand.New(rand.NewPCG(g.Seed, 0))
	g.events = nil
	for _, template := range g.Templates {
		if template.Class == placer.ClassService {
			g.addServices(template)
		}
	}
	for _, arrivals := range g.Arrivals {
		g.addBatch(arrivals)
	}
	addEvents(g)
	slices.SortStableFunc(g.events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return Trace{
		Name:      name,
		Seed:      g.Seed,
		Step:      step,
		Length:    length,
		Workers:   g.Cluster.workers(),
		Templates: g.Templates,
		Events:    g.events,
		Targets:   defaultTargets,
	}
}

// defaultTargets are the outcomes required of every generated trace.
var defaultTargets = Targets{
	Slowdown:    1.1,
	Throughput:  0.9,
	Evictions:   0.5,
	UrgentStart: 2600 * time.Millisecond,
}

func (g *Generator) addServices(template Template) {
	for i := range g.Instances {
		g.events = append(g.events, Event{
			Kind:     EventSubmit,
			Task:     fmt.Sprintf("%s-%d", template.Name, i),
			Template: template.Name,
			Factor:   1,
		})
	}
}

func (g *Generator) addBatch(a Arrivals) {
	for i := range a.Count {
		work := scaled(a.Work, g.lognormal(workSpread))
		factor := math.Exp(max(-factorBound, min(factorBound, factorSpread*g.random.NormFloat64())))
		g.events = append(g.events, Event{
			At:           g.arrival(a),
			Kind:         EventSubmit,
			Task:         fmt.Sprintf("%s-%d", a.Template, i),
			Template:     a.Template,
			Factor:       math.Round(factor*100) / 100,
			Work:         work.Round(time.Second),
			DeclaredWork: scaled(work, g.lognormal(declaredSpread)).Round(time.Second),
			Urgent:       a.Urgent,
		})
	}
}

// arrival draws the submission time of a task.
func (g *Generator) arrival(a Arrivals) time.Duration {
	span := a.Until - a.From
	at := a.From + scaled(span, g.random.Float64())
	if a.Waves > 0 && g.random.Float64() < waveShare {
		wave := 1 + g.random.IntN(a.Waves)
		middle := a.From + span*time.Duration(wave)/time.Duration(a.Waves+1)
		at = middle + scaled(waveWidth, g.random.NormFloat64())
	}
	return max(a.From, min(a.Until, at)).Round(time.Second)
}

func (g *Generator) lognormal(spread float64) float64 {
	return math.Exp(spread * g.random.NormFloat64())
}

func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// Add adds events to the trace that is being generated.
func (g *Generator) Add(events ...Event) {
	g.events = append(g.events, events...)
}

// CancelShare adds events that cancel, at the given time, a random share of the tasks
// of a template that were submitted before it.
func (g *Generator) CancelShare(template string, at time.Duration, share float64) {
	var cancelled []Event
	for _, event := range g.events {
		if event.Template != template || event.Kind != EventSubmit || event.At >= at {
			continue
		}
		if g.random.Float64() < share {
			cancelled = append(cancelled, Event{At: at, Kind: EventCancel, Task: event.Task})
		}
	}
	g.events = append(g.events, cancelled...)
}

// LoadWaves adds events that alternate the load of a template between high and 1,
// each for one period.
func (g *Generator) LoadWaves(template string, length, period time.Duration, high float64) {
	for at := period; at < length; at += 2 * period {
		g.Add(
			Event{At: at, Kind: EventLoad, Template: template, Factor: high},
			Event{At: at + period, Kind: EventLoad, Template: template, Factor: 1},
		)
	}
}

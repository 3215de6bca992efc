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
	// FailureDomains are the failure domains that share the workers.
	FailureDomains []string
	// Workers is the number of workers.
	Workers int
	// Capacity is the capacity of each.
	Capacity placer.Size
}

// workers returns the workers of the cluster, by failure domain and rack.
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
	// From and Until bound the times of their submission.
	From, Until time.Duration
	// Work is the median of their true run time.
	Work time.Duration
	// Waves is the number of waves in which most of them arrive, or zero.
	Waves int
	// Urgent marks them as urgent.
	Urgent bool
}

// Spreads of what is drawn, as deviations of the logarithm.
const (
	workSpread     = 0.5
	declaredSpread = 0.8
	factorSpread   = 0.1
	// factorLimit bounds the logarithm of the size of a task relative to its
	// template.
	factorLimit = 0.2
	// waveWidth is the deviation of a wave.
	waveWidth = 90 * time.Second
	// wavePart is the part of the tasks that arrives in waves.
	wavePart = 0.6
)

// Generator draws the events of a trace. Its exported fields are set before use.
type Generator struct {
	// Seed makes the events deterministic.
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

// Generate returns a trace of a length with the tasks of the generator. The
// change adds further events.
func (g *Generator) Generate(name string, length, step time.Duration, change func(*Generator)) Trace {
	g.random = rand.New(rand.NewPCG(g.Seed, 0))
	g.events = nil
	for _, template := range g.Templates {
		if template.Class == placer.ClassService {
			g.instances(template)
		}
	}
	for _, arrivals := range g.Arrivals {
		g.batch(arrivals)
	}
	change(g)
	slices.SortStableFunc(g.events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return Trace{
		Name:      name,
		Seed:      g.Seed,
		Step:      step,
		Length:    length,
		Workers:   g.Cluster.workers(),
		Templates: g.Templates,
		Events:    g.events,
		Targets:   statedTargets,
	}
}

// statedTargets are the outcomes that every generated trace has to reach.
var statedTargets = Targets{
	Slowdown:    1.1,
	Throughput:  0.9,
	Evictions:   0.5,
	UrgentStart: 2600 * time.Millisecond,
}

func (g *Generator) instances(template Template) {
	for i := range g.Instances {
		g.events = append(g.events, Event{
			Kind:     EventSubmit,
			Task:     fmt.Sprintf("%s-%d", template.Name, i),
			Template: template.Name,
			Factor:   1,
		})
	}
}

func (g *Generator) batch(a Arrivals) {
	for i := range a.Count {
		work := scaled(a.Work, g.lognormal(workSpread))
		factor := math.Exp(max(-factorLimit, min(factorLimit, factorSpread*g.random.NormFloat64())))
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

// arrival draws a time of submission.
func (g *Generator) arrival(a Arrivals) time.Duration {
	span := a.Until - a.From
	at := a.From + scaled(span, g.random.Float64())
	if a.Waves > 0 && g.random.Float64() < wavePart {
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

// Add adds events.
func (g *Generator) Add(events ...Event) {
	g.events = append(g.events, events...)
}

// CancelWave cancels a part of the tasks of a template that were submitted
// before a time.
func (g *Generator) CancelWave(template string, at time.Duration, part float64) {
	var cancelled []Event
	for _, event := range g.events {
		if event.Template != template || event.Kind != EventSubmit || event.At >= at {
			continue
		}
		if g.random.Float64() < part {
			cancelled = append(cancelled, Event{At: at, Kind: EventCancel, Task: event.Task})
		}
	}
	g.events = append(g.events, cancelled...)
}

// LoadWaves changes the load of a template up and down.
func (g *Generator) LoadWaves(template string, length, period time.Duration, high float64) {
	for at := period; at < length; at += 2 * period {
		g.Add(
			Event{At: at, Kind: EventLoad, Template: template, Factor: high},
			Event{At: at + period, Kind: EventLoad, Template: template, Factor: 1},
		)
	}
}

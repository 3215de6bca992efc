package replayer

import (
	"math"

	"zinniashore.example/placer"
)

// usage returns the true resource use of a job at the current time.
func (w *world) usage(j *job) placer.Size {
	load := w.load[j.template.Name] * j.factor * j.task.Throttle
	ramp := math.Min(1, float64(w.now.Sub(j.started))/float64(rampTime))
	return placer.Size{
		Processors:   int64(float64(j.task.Declared.Processors) * j.template.Processors * load),
		Memory:       int64(float64(j.task.Declared.Memory) * j.template.Memory * j.factor * ramp),
		Accelerators: j.task.Declared.Accelerators,
	}
}

// contention returns the demand for processors relative to the worker's capacity,
// or 1 if the demand is lower than the capacity.
func (w *world) contention(n *node) float64 {
	demand := int64(0)
	for _, j := range n.jobs {
		demand += w.usage(j).Processors
	}
	return math.Max(1, float64(demand)/float64(n.worker.Capacity.Processors))
}

// slowdown returns the true slowdown of a service task at the current time.
func (w *world) slowdown(n *node, service *job, contention float64) float64 {
	excess := 0.0
	for _, j := range n.jobs {
		if j != service {
			excess += w.interference(j, service.template.Name)
		}
	}
	step := uint64(w.now.Sub(w.start) / w.trace.Step)
	noise := -noiseMean * math.Log(uniform(service.hash+step))
	return (1 + noise) * (1 + excess) * contention
}

// interference returns the slowdown above 1 that a job currently causes to a service.
func (w *world) interference(j *job, service string) float64 {
	for _, d := range j.template.Interference {
		if d.Service == service {
			return d.Excess * w.load[j.template.Name] * j.task.Throttle
		}
	}
	return 0
}

// uniform hashes value to a number in (0, 1].
func uniform(value uint64) float64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9
	value = (value ^ (value >> 27)) * 0x94d049bb133111eb
	value ^= value >> 31
	return (float64(value>>11) + 1) / (1 << 53)
}

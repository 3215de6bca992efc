package estimator

import (
	"math"
	"time"
)

// Ending is the end of a batch task that did its work.
type Ending struct {
	// Template is the template of the task.
	Template string
	// Declared is the declared run time of all its work.
	Declared time.Duration
	// Took is the run time that its work took.
	Took time.Duration
}

const (
	// runTimeSamples is the number of endings from which run times count as
	// learned.
	runTimeSamples = 8
	// runTimeMemory is the number of endings over which they are averaged.
	runTimeMemory = 200
	// runTimeMargin is the number of deviations added to a run time.
	runTimeMargin = 1.0
	// runTimeFloor is the part of an expected run time that a task which has run
	// for longer is reckoned to need still.
	runTimeFloor = 0.25
)

// moments are the mean and the variance of a value, of which newer ones weigh
// more.
type moments struct {
	count    int
	mean     float64
	variance float64
}

func (m moments) add(value float64) moments {
	m.count = min(m.count+1, runTimeMemory)
	weight := 1 / float64(m.count)
	difference := value - m.mean
	m.mean += weight * difference
	m.variance = (1 - weight) * (m.variance + weight*difference*difference)
	return m
}

// templateTimes is what was learned of the run times of a template, as
// logarithms: how long its tasks run, and how far off the declared run time is.
type templateTimes struct {
	took  moments
	error moments
}

func (t templateTimes) observe(ending Ending) templateTimes {
	if ending.Took <= 0 {
		return t
	}
	took := math.Log(ending.Took.Seconds())
	t.took = t.took.add(took)
	if ending.Declared > 0 {
		t.error = t.error.add(math.Log(ending.Declared.Seconds()) - took)
	}
	return t
}

// expect returns the run time on the safe side of a task: what its template
// usually takes and what is declared for it, weighed by how well each fits.
func (t templateTimes) expect(declared time.Duration) time.Duration {
	if t.took.count < runTimeSamples {
		return declared
	}
	mean, variance := t.took.mean, t.took.variance
	if declared > 0 && t.error.count >= runTimeSamples && variance > 0 {
		corrected := math.Log(declared.Seconds()) - t.error.mean
		weight := variance / (variance + t.error.variance)
		mean += weight * (corrected - mean)
		variance *= 1 - weight
	}
	seconds := math.Exp(mean + runTimeMargin*math.Sqrt(variance))
	return time.Duration(seconds * float64(time.Second))
}

// remaining returns the run time that a task may still need.
func (t templateTimes) remaining(declared, ran time.Duration) time.Duration {
	expected := t.expect(declared)
	least := time.Duration(runTimeFloor * float64(expected))
	return max(least, expected-ran)
}

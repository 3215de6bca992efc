package estimator

import (
	"math"
	"time"
)

// Completion is the run time of a batch task that completed its work.
type Completion struct {
	// Template names the template of the task.
	Template string
	// Declared is the declared run time of the whole task.
	Declared time.Duration
	// Took is the actual run time of the whole task.
	Took time.Duration
}

const (
	// minRunTimeSamples is the number of completions from which the run times of a
	// template are used instead of the declared one.
	minRunTimeSamples = 8
	// runTimeWindow is the number of completions over which run times are averaged.
	runTimeWindow = 200
	// runTimeDeviations is the number of standard deviations added to the mean of the
	// logarithm of a run time.
	runTimeDeviations = 1.0
	// minRemainingShare is the smallest remaining run time of a task, as a share of its
	// expected run time. It applies to tasks that run longer than expected.
	minRemainingShare = 0.25
)

// moments holds a moving mean and variance. After runTimeWindow values the average is
// exponential, so that newer values weigh more.
type moments struct {
	count    int
	mean     float64
	variance float64
}

func (m moments) add(value float64) moments {
	m.count = min(m.count+1, runTimeWindow)
	weight := 1 / float64(m.count)
	difference := value - m.mean
	m.mean += weight * difference
	m.variance = (1 - weight) * (m.variance + weight*difference*difference)
	return m
}

// templateRunTimes holds statistics of the run times of a template: took of the logarithm
// of the actual run time in seconds, and error of the logarithm of the ratio of the
// declared to the actual run time.
type templateRunTimes struct {
	took  moments
	error moments
}

func (t templateRunTimes) observe(completion Completion) templateRunTimes {
	if completion.Took <= 0 {
		return t
	}
	took := math.Log(completion.Took.Seconds())
	t.took = t.took.add(took)
	if completion.Declared > 0 {
		t.error = t.error.add(math.Log(completion.Declared.Seconds()) - took)
	}
	return t
}

// estimate returns a conservative run time of a task. It combines the usual run time of
// the template with the corrected declared one, weighted by their variances.
func (t templateRunTimes) estimate(declared time.Duration) time.Duration {
	if t.took.count < minRunTimeSamples {
		return declared
	}
	mean, variance := t.took.mean, t.took.variance
	if declared > 0 && t.error.count >= minRunTimeSamples && variance > 0 {
		corrected := math.Log(declared.Seconds()) - t.error.mean
		weight := variance / (variance + t.error.variance)
		mean += weight * (corrected - mean)
		variance *= 1 - weight
	}
	seconds := math.Exp(mean + runTimeDeviations*math.Sqrt(variance))
	return time.Duration(seconds * float64(time.Second))
}

// remaining returns a conservative estimate of the remaining run time of a task.
func (t templateRunTimes) remaining(declared, ran time.Duration) time.Duration {
	expected := t.estimate(declared)
	minimum := time.Duration(minRemainingShare * float64(expected))
	return max(minimum, expected-ran)
}

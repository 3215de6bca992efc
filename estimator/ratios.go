package estimator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kind names tasks whose run times are alike.
type Kind struct {
	// Queue is the name of the queue, Image what the tasks run.
	Queue, Image string
}

const (
	// minRatios is the number of ends from which on the ratios of a kind are used.
	minRatios = 8
	// ratiosPerWindow is the number of ends after which the oldest window of a kind is dropped. The
	// quantiles are those of the last two windows.
	ratiosPerWindow = 100
	ratioWindows    = 2
	// maxKinds bounds the memory: each kind has two histograms of some hundred counts. Tasks of further
	// kinds use the declared estimate.
	maxKinds = 500

	// ratioUnit is the resolution of a ratio. Larger ones than maxRatio count as maxRatio. ratioDigits is
	// the number of significant digits that the histogram keeps.
	ratioUnit   = 0.01
	maxRatio    = 1000.0
	ratioDigits = 1
	// typicalPercent is the quantile that RunTime uses, in percent.
	typicalPercent = 50.0
)

// Ratios learns, by kind of task, the ratio of the actual run time of a task to its declared estimate. It
// is not safe for concurrent use.
type Ratios struct {
	kinds map[Kind]*kindRatios
}

// NewRatios returns Ratios that have learned nothing.
func NewRatios() *Ratios { return &Ratios{kinds: map[Kind]*kindRatios{}} }

// kindRatios holds the ratios of a kind in the last windows.
type kindRatios struct {
	windows *hdrhistogram.WindowedHistogram
	// inWindow counts the ratios of the newest window, total those of all windows so far.
	inWindow, total int
	// typical is the median ratio.
	typical float64
}

func newKindRatios() *kindRatios {
	return &kindRatios{windows: hdrhistogram.NewWindowed(ratioWindows, 1, int64(maxRatio/ratioUnit), ratioDigits)}
}

// Empty reports whether no run time has been observed.
func (r *Ratios) Empty() bool { return len(r.kinds) == 0 }

// Observe records how long a task that completed its work took. Tasks without an estimate are ignored.
func (r *Ratios) Observe(kind Kind, declared, took time.Duration) {
	if declared <= 0 || took <= 0 {
		return
	}
	k, known := r.kinds[kind]
	if !known {
		if len(r.kinds) >= maxKinds {
			return
		}
		k = newKindRatios()
		r.kinds[kind] = k
	}
	k.add(float64(took) / float64(declared))
}

// add adds a ratio and updates the median.
func (k *kindRatios) add(ratio float64) {
	if k.inWindow == ratiosPerWindow {
		k.windows.Rotate()
		k.inWindow = 0
	}
	k.inWindow++
	k.total++
	value := int64(min(max(ratio, ratioUnit), maxRatio) / ratioUnit)
	if err := k.windows.Current.RecordValue(value); err != nil {
		return // can't happen: the value is within the range of the histogram
	}
	if k.total >= minRatios {
		k.typical = k.quantile(typicalPercent)
	}
}

// quantile returns a quantile, in percent, of the ratios in the windows.
func (k *kindRatios) quantile(percent float64) float64 {
	return float64(k.windows.Merge().ValueAtQuantile(percent)) * ratioUnit
}

// Quantile returns a quantile, in percent, of the ratio of the actual to the declared run time, and whether
// enough tasks of the kind have ended.
func (r *Ratios) Quantile(kind Kind, percent float64) (ratio float64, learned bool) {
	k, known := r.kinds[kind]
	if !known || k.total < minRatios {
		return 1, false
	}
	return k.quantile(percent), true
}

// RunTime returns the typical run time of a task: the declared one, corrected by the median ratio of its
// kind once enough tasks have ended.
func (r *Ratios) RunTime(kind Kind, declared time.Duration) time.Duration {
	k, known := r.kinds[kind]
	if !known || k.total < minRatios {
		return declared
	}
	return time.Duration(k.typical * float64(declared))
}

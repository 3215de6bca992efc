package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"
)

// lateOrders is the handler of a minion that, while late is set, leaves half of the starts without an answer and carries
// them out 2 to 12 s later, unless it has crashed meanwhile. While lateCalls is set, it does so with all calls, and its next
// life carries them out too.
type lateOrders struct {
	minion *minion
}

const (
	lateShare = 0.5
	minLate   = 2 * time.Second
	maxLate   = 12 * time.Second
)

// late is set while starts are carried out late, on all minions, lateCalls while all calls are.
var late, lateCalls atomic.Bool

// ServeHTTP implements http.Handler.
func (l *lateOrders) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	concerned := lateCalls.Load() || late.Load() && strings.HasSuffix(r.URL.Path, "/run-start")
	if !concerned || rand.Float64() >= lateShare || !l.minion.Up() {
		l.minion.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	born, anyLife := l.minion.Born(), lateCalls.Load()
	order := httptest.NewRequest(r.Method, r.URL.Path, bytes.NewReader(body))
	order.Header = r.Header.Clone()
	time.AfterFunc(minLate+rand.N(maxLate-minLate), func() {
		if l.minion.Up() && (anyLife || l.minion.Born() == born) {
			l.minion.ServeHTTP(httptest.NewRecorder(), order)
		}
	})
	<-r.Context().Done() // the caller gives up, or the minion ends the channel as it crashes
}

// lateTime is how long a disturbance lasts in which calls are carried out late: for_s of applied_late is 5, and up to 5.5 on
// the site. lateGap is the pause to the next one.
const (
	lateTime = 5 * time.Second
	lateGap  = time.Second
)

// beLate sets a flag for lateTime again and again, until stop is closed.
func beLate(flag *atomic.Bool, stop chan struct{}) {
	defer flag.Store(false)
	for {
		for _, phase := range []struct {
			late bool
			time time.Duration
		}{{true, lateTime}, {false, lateGap}} {
			flag.Store(phase.late)
			select {
			case <-stop:
				return
			case <-time.After(phase.time):
			}
		}
	}
}

package zinniashore

import (
	"context"
	"sync"

	"k8s.io/klog/v2"

	"zinniashore.example/claimer"
)

// holderAnswer is the answer of the last holder of a cell.
type holderAnswer struct {
	holder       claimer.Holder
	held, failed bool
}

// answerLog logs the answers of the last holders of cells. A query is repeated until the
// cell has a holder, so only an answer that differs from the cell's last one is logged.
type answerLog struct {
	mu      sync.Mutex
	answers map[string]holderAnswer
}

// record logs an answer if it is new for the cell.
func (a *answerLog) record(cell string, answer holderAnswer, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if last, found := a.answers[cell]; found && last == answer {
		return
	}
	if a.answers == nil {
		a.answers = map[string]holderAnswer{}
	}
	a.answers[cell] = answer
	klog.InfoS("Queried the last holder of a cell", "cell", cell, "holder", answer.holder.Process, "held", answer.held, "err", err)
}

// queryHolder reports whether another process still holds a cell, by asking that
// process.
func (s *Scheduler) queryHolder(ctx context.Context, holder claimer.Holder, cell string) bool {
	status, err := s.peerClient.PeerStatus(ctx, holder.Address, cell)
	s.holderAnswers.record(cell, holderAnswer{holder: holder, held: status.Holds, failed: err != nil}, err)
	return status.Holds
}

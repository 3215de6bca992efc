package holder

import (
	"context"
	"sync"

	"k8s.io/klog/v2"

	"zinniashore.example/claimer"
	"zinniashore.example/relayer"
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

// LastHolders asks the last holders of cells whether they still hold them. Its exported fields are set before the
// first call. It is safe for concurrent use.
type LastHolders struct {
	Peers *relayer.Client

	answers answerLog
}

// Holds reports whether another process still holds a cell, by asking that process. It reports false if that doesn't
// answer before ctx ends.
func (l *LastHolders) Holds(ctx context.Context, holder claimer.Holder, cell string) bool {
	status, err := l.Peers.PeerStatus(ctx, holder.Address, cell)
	l.answers.record(cell, holderAnswer{holder: holder, held: status.Holds, failed: err != nil}, err)
	return status.Holds
}

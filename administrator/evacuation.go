package administrator

import (
	"context"
	"net/http"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"zinniashore.example/evacuator"
)

// Evacuator records the failure domains in which no task may start.
type Evacuator interface {
	// Begin records the evacuation of a failure domain and returns it as stored.
	Begin(ctx context.Context, failureDomain, operator string) (evacuator.Evacuation, error)
	// End removes the evacuation of a failure domain, if there is one.
	End(ctx context.Context, failureDomain, operator string) error
	// List returns the evacuations, sorted by failure domain.
	List(ctx context.Context) ([]evacuator.Evacuation, error)
}

func (a *Administrator) beginEvacuation(c call) answer {
	if !c.principal.isOperator() {
		return forbiddenAnswer()
	}
	failureDomain := pathvar.Vars(c.Request)["domain"]
	evacuation, err := a.Evacuator.Begin(c.Context(), failureDomain, c.principal.operator)
	if err != nil {
		return errorAnswer(err)
	}
	return answer{code: http.StatusOK, message: evacuationMessage(evacuation)}
}

func (a *Administrator) endEvacuation(c call) answer {
	if !c.principal.isOperator() {
		return forbiddenAnswer()
	}
	failureDomain := pathvar.Vars(c.Request)["domain"]
	if err := a.Evacuator.End(c.Context(), failureDomain, c.principal.operator); err != nil {
		return errorAnswer(err)
	}
	return answer{code: http.StatusOK, message: EvacuationMessage{FailureDomain: failureDomain}}
}

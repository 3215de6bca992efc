package administrator

import (
	"context"
	"errors"
	"net/http"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"zinniashore.example/configurer"
	"zinniashore.example/submitter"
)

func (a *Administrator) postJob(c call) answer {
	var m SubmitMessage
	if malformed, ok := c.readBody(&m); !ok {
		return malformed
	}
	if !c.principal.mayAccess(m.Organisation) {
		return forbiddenAnswer()
	}
	batch, found := a.Configurer.Current().Batch(m.Organisation, m.Workload)
	if !found {
		return failureAnswer(http.StatusUnprocessableEntity, CodeRejected, "workload: is no kind of batch job of the organisation", true)
	}
	job, err := a.submit(c.Context(), m, batch)
	if err != nil {
		return errorAnswer(err)
	}
	return answer{code: http.StatusOK, message: jobMessage(job)}
}

// submit records the job. A job that is submitted again keeps the time window and cell
// of the stored record, so that it counts as the same job even after its window.
func (a *Administrator) submit(ctx context.Context, m SubmitMessage, batch configurer.Batch) (submitter.Job, error) {
	job := submitter.Job{
		Organisation: m.Organisation, Name: m.Name, Template: batch.Template, Tasks: m.Tasks,
		Size: batch.Size, Priority: batch.Priority, Urgent: batch.Urgent,
		FailureDomains: batch.FailureDomains, Work: batch.RunTime,
	}
	job.NotBefore, job.Deadline = batch.Window.Next(a.Clock.Now())
	stored, err := a.Submitter.Get(ctx, m.Organisation, m.Name)
	var notFound *submitter.NotFoundError
	switch {
	case err == nil:
		job.NotBefore, job.Deadline, job.Cell = stored.NotBefore, stored.Deadline, stored.Cell
	case !errors.As(err, &notFound):
		return submitter.Job{}, err
	default:
		job.Cell, err = a.Cells.Choose(job)
		if err != nil {
			return submitter.Job{}, err
		}
	}
	return a.Submitter.Submit(ctx, job)
}

func (a *Administrator) getJobs(c call) answer {
	organisation := c.URL.Query().Get("organisation")
	if !c.principal.isOperator() {
		organisation = c.principal.organisation
	}
	jobs, err := a.Submitter.List(c.Context(), organisation)
	if err != nil {
		return errorAnswer(err)
	}
	m := JobsMessage{Jobs: []JobMessage{}}
	for _, job := range jobs {
		m.Jobs = append(m.Jobs, jobMessage(job))
	}
	return answer{code: http.StatusOK, message: m}
}

func (a *Administrator) getJob(c call) answer {
	return a.handleJob(c, a.Submitter.Get)
}

func (a *Administrator) cancelJob(c call) answer {
	return a.handleJob(c, a.Submitter.Cancel)
}

// handleJob applies an operation to the job that the path names and returns the answer.
func (a *Administrator) handleJob(c call, operation func(ctx context.Context, organisation, name string) (submitter.Job, error)) answer {
	vars := pathvar.Vars(c.Request)
	if !c.principal.mayAccess(vars["organisation"]) {
		return forbiddenAnswer()
	}
	job, err := operation(c.Context(), vars["organisation"], vars["name"])
	if err != nil {
		return errorAnswer(err)
	}
	return answer{code: http.StatusOK, message: jobMessage(job)}
}

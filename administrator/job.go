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
	if malformed, ok := c.read(&m); !ok {
		return malformed
	}
	if !c.principal.may(m.Organisation) {
		return forbidden()
	}
	batch, found := a.Configurer.Current().Batch(m.Organisation, m.Workload)
	if !found {
		return failure(http.StatusUnprocessableEntity, CodeRejected, "workload: is no kind of batch job of the organisation", true)
	}
	job, err := a.submit(c.Context(), m, batch)
	if err != nil {
		return failed(err)
	}
	return answer{code: http.StatusOK, message: jobMessage(job)}
}

// submit records the job. A job submitted again keeps its time window and cell,
// so that it is the same job also after its window.
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
		return failed(err)
	}
	m := JobsMessage{Jobs: []JobMessage{}}
	for _, job := range jobs {
		m.Jobs = append(m.Jobs, jobMessage(job))
	}
	return answer{code: http.StatusOK, message: m}
}

func (a *Administrator) getJob(c call) answer {
	return a.withJob(c, a.Submitter.Get)
}

func (a *Administrator) cancelJob(c call) answer {
	return a.withJob(c, a.Submitter.Cancel)
}

func (a *Administrator) withJob(c call, act func(ctx context.Context, organisation, name string) (submitter.Job, error)) answer {
	vars := pathvar.Vars(c.Request)
	if !c.principal.may(vars["organisation"]) {
		return forbidden()
	}
	job, err := act(c.Context(), vars["organisation"], vars["name"])
	if err != nil {
		return failed(err)
	}
	return answer{code: http.StatusOK, message: jobMessage(job)}
}

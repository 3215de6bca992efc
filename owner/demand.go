package owner

import (
	"hash/fnv"
	"sort"
	"time"

	"k8s.io/klog/v2"

	"zinniashore.example/keeper"
	"zinniashore.example/placer"
	"zinniashore.example/submitter"
)

// maxWaiting bounds the number of waiting tasks in one decision.
const maxWaiting = 1000

// jobView is the state of one job as the owner of its cell knows it.
type jobView struct {
	job submitter.Job
	// version is the store revision of job.
	version int64
	// activeTasks are the indexes of the tasks of the job that are in cell.tasks.
	activeTasks map[int]bool
	// progress holds the tasks of the job that have ended.
	progress progress
	// reason is the reason why the job can never run, empty if it can.
	reason string
}

func (v *jobView) key() string { return jobKey(v.job.Organisation, v.job.Name) }

// wanted reports whether the job has neither ended nor been cancelled.
func (v *jobView) wanted() bool { return !v.job.State.Ended() && !v.job.Cancelled }

func (v *jobView) complete() bool {
	return v.progress.done.count()+v.progress.failed.count() >= v.job.Tasks
}

func (v *jobView) demand(index int) demand {
	j := v.job
	return demand{
		id: jobTask(v.key(), index), group: v.key(), index: index, organisation: j.Organisation,
		template: j.Template, class: placer.ClassBatch, declared: j.Size, priority: j.Priority,
		urgent: j.Urgent, failureDomains: j.FailureDomains, notBefore: j.NotBefore,
		deadline: j.Deadline, work: j.Work, submitted: j.Submitted,
	}
}

// applyJobs applies the job records that are newer than those applied before.
func (c *cell) applyJobs(entries []keeper.Entry) {
	for _, stored := range entries {
		if stored.Version <= c.jobVersions[stored.Key] {
			continue
		}
		c.jobVersions[stored.Key] = stored.Version
		job, err := submitter.DecodeJob(stored)
		if err != nil {
			klog.ErrorS(err, "Failed to decode job record", "key", stored.Key)
			continue
		}
		if job.Cell == c.spec.ID {
			c.applyJob(job, stored.Version)
		}
	}
}

func (c *cell) applyJob(job submitter.Job, version int64) {
	key := jobKey(job.Organisation, job.Name)
	view := c.jobs[key]
	if view == nil {
		view = &jobView{activeTasks: map[int]bool{}, progress: progress{key: key}}
		c.jobs[key] = view
	}
	known := view.job
	view.version = version
	if !known.Submitted.Equal(job.Submitted) {
		view.progress = progress{key: key}
	}
	if known.State.Ended() && known.Submitted.Equal(job.Submitted) && !job.State.Ended() {
		return
	}
	view.job = job
	if !view.wanted() {
		c.stopJob(view)
	}
}

// syncJobs updates the jobs from the mirror.
func (c *cell) syncJobs() {
	_, revision := c.owner.Mirror.LastContact()
	if revision == c.mirrorRevision {
		return
	}
	c.mirrorRevision = revision
	entries := c.owner.Mirror.Entries(submitter.Prefix)
	c.applyJobs(entries)
	present := make(map[string]bool, len(entries))
	for _, stored := range entries {
		present[stored.Key] = true
	}
	for key := range c.jobVersions {
		if !present[key] && c.jobVersions[key] <= revision {
			delete(c.jobVersions, key)
		}
	}
	for key, view := range c.jobs {
		if !present[view.job.Key()] && view.version <= revision {
			c.stopJob(view)
			if len(view.activeTasks) == 0 {
				c.removeJob(key)
			}
		}
	}
}

// stopJob stops and removes the tasks of a job.
func (c *cell) stopJob(view *jobView) {
	for index := range view.activeTasks {
		if t := c.tasks[jobTask(view.key(), index)]; t != nil {
			c.requestStop(t, stopRemove)
		}
	}
}

// removeJob removes a job whose record is gone from the store.
func (c *cell) removeJob(key string) {
	if _, stored := c.journal.current[key]; stored {
		c.stageChange(key)
	}
	delete(c.jobs, key)
}

// syncServices updates the instances of services from the configuration.
func (c *cell) syncServices() {
	if c.owner.Workloads == nil {
		return
	}
	services := c.owner.Workloads.Services()
	if services == nil {
		return
	}
	wanted := map[string]demand{}
	for _, service := range services {
		for _, d := range c.instances(service) {
			wanted[d.id] = d
		}
	}
	for _, t := range c.sortedTasks() {
		if t.demand.class != placer.ClassService {
			continue
		}
		d, found := wanted[t.record.id]
		if !found {
			c.requestStop(t, stopRemove)
			continue
		}
		d.submitted = t.demand.submitted
		t.demand = d
		delete(wanted, t.record.id)
	}
	for _, d := range wanted {
		c.tasks[d.id] = &task{record: d.record(), demand: d, phase: phaseWaiting, since: d.submitted, throttle: 1, appliedThrottle: 1}
	}
	c.replaceChanged()
}

// instances returns the instances of a service that belong to this cell. Instances are
// assigned to the eligible cells round robin, from firstInstanceCell on.
func (c *cell) instances(service Service) []demand {
	cells := eligibleCells(c.owner.Cells, service.FailureDomains)
	position := -1
	for i, spec := range cells {
		if spec.ID == c.spec.ID {
			position = i
		}
	}
	if position < 0 {
		return nil
	}
	group := serviceKey(service.Organisation, service.Name)
	first := (position - firstInstanceCell(group, len(cells)) + len(cells)) % len(cells)
	var demands []demand
	for i := first; i < service.Instances; i += len(cells) {
		demands = append(demands, c.instance(service, group, i))
	}
	return demands
}

func (c *cell) instance(service Service, group string, index int) demand {
	return demand{
		id: jobTask(group, index), group: group, index: index,
		organisation: service.Organisation, template: service.Template,
		class: placer.ClassService, declared: service.Size, priority: service.Priority,
		failureDomains: service.FailureDomains, submitted: c.now(),
		settings: settings{declared: service.Size, slots: service.Slots, connections: service.Connections},
	}
}

// firstInstanceCell returns the position of the cell of a service's first instance. It
// hashes the key of the service to spread the first instances over the cells.
func firstInstanceCell(group string, cells int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(group))
	return int(h.Sum32()) % cells
}

// eligibleCells returns the cells of the failure domains in an order in which adjacent
// cells are in different failure domains as far as possible.
func eligibleCells(cells []Cell, domains []string) []Cell {
	byDomain := map[string][]Cell{}
	for _, spec := range cells {
		if len(domains) == 0 || contains(domains, spec.FailureDomain) {
			byDomain[spec.FailureDomain] = append(byDomain[spec.FailureDomain], spec)
		}
	}
	type ranked struct {
		spec Cell
		rank int
	}
	var order []ranked
	for _, group := range byDomain {
		sort.Slice(group, func(i, j int) bool { return group[i].ID < group[j].ID })
		for rank, spec := range group {
			order = append(order, ranked{spec: spec, rank: rank})
		}
	}
	sort.Slice(order, func(i, j int) bool {
		if order[i].rank != order[j].rank {
			return order[i].rank < order[j].rank
		}
		return order[i].spec.FailureDomain < order[j].spec.FailureDomain
	})
	eligible := make([]Cell, len(order))
	for i, r := range order {
		eligible[i] = r.spec
	}
	return eligible
}

func contains(list []string, value string) bool {
	for _, v := range list {
		if v == value {
			return true
		}
	}
	return false
}

// replaceChanged evicts one instance of each service that was started with other
// settings or from another template, if all instances of the service are running.
func (c *cell) replaceChanged() {
	replacing := map[string]bool{}
	for _, t := range c.tasks {
		if t.demand.class == placer.ClassService && t.phase != phaseRunning {
			replacing[t.demand.group] = true
		}
	}
	for _, t := range c.sortedTasks() {
		if t.demand.class != placer.ClassService || t.phase != phaseRunning || replacing[t.demand.group] {
			continue
		}
		if t.record.settings != t.demand.settings || t.record.template != t.demand.template {
			replacing[t.demand.group] = true
			c.requestStop(t, stopEvict)
		}
	}
}

// waitingDemands returns up to limit demands of jobs that have no task in the cell
// yet, most urgent first.
func (c *cell) waitingDemands(limit int) []demand {
	var views []*jobView
	for _, view := range c.jobs {
		if view.wanted() {
			views = append(views, view)
		}
	}
	sort.Slice(views, func(i, j int) bool { return views[i].precedes(views[j]) })
	var demands []demand
	for _, view := range views {
		for i := 0; i < view.job.Tasks && len(demands) < limit; i++ {
			if !view.activeTasks[i] && !view.progress.ended(i) {
				demands = append(demands, view.demand(i))
			}
		}
	}
	return demands
}

func (v *jobView) precedes(o *jobView) bool {
	a, b := v.job, o.job
	switch {
	case a.Urgent != b.Urgent:
		return a.Urgent
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	case !a.Submitted.Equal(b.Submitted):
		return a.Submitted.Before(b.Submitted)
	}
	return v.key() < o.key()
}

// outcome returns the final state of a job and its reason. final is false while the job
// has no final state, or if the job record already holds it.
func (c *cell) outcome(view *jobView) (state submitter.JobState, reason string, final bool) {
	switch {
	case view.job.State.Ended() || len(view.activeTasks) > 0:
		return "", "", false
	case view.complete() && view.progress.failed.count() == 0:
		return submitter.JobDone, "", true
	case view.complete():
		return submitter.JobFailed, view.progress.reason, true
	case view.job.Cancelled:
		return submitter.JobCancelled, "cancelled", true
	}
	return "", "", false
}

// writeJobs starts one write that a job record needs: its outcome, a changed reason, or
// its deletion after Retention. Only one write is in flight at a time.
func (c *cell) writeJobs(now time.Time) {
	if c.writingJob {
		return
	}
	for _, view := range c.jobs {
		if write := c.dueWrite(view, now); write != nil {
			c.writingJob = true
			c.spawn(func() {
				job, err := write()
				c.post(func() { c.handleJobWritten(view, job, err) })
			})
			return
		}
	}
}

// dueWrite returns the write that a job record needs, or nil if none.
func (c *cell) dueWrite(view *jobView, now time.Time) func() (submitter.Job, error) {
	s := c.owner.submitter()
	job, reason := view.job, view.reason
	if state, outcome, final := c.outcome(view); final {
		done, failed := view.progress.done.count(), view.progress.failed.count()
		return func() (submitter.Job, error) {
			return s.Finish(c.ctx, job.Organisation, job.Name, state, outcome, done, failed)
		}
	}
	if view.wanted() && reason != job.Reason {
		return func() (submitter.Job, error) {
			return s.Explain(c.ctx, job.Organisation, job.Name, reason)
		}
	}
	limit := now.Add(-c.owner.Retention)
	if job.State.Ended() && job.Finished.Before(limit) {
		return func() (submitter.Job, error) {
			_, err := s.Purge(c.ctx, job.Organisation, job.Name, limit)
			return job, err
		}
	}
	return nil
}

func (c *cell) handleJobWritten(view *jobView, job submitter.Job, err error) {
	c.writingJob = false
	if err != nil {
		klog.V(1).InfoS("Failed to write job record", "job", view.key(), "err", err)
		return
	}
	view.job = job
	if _, stored := c.journal.current[view.key()]; stored && job.State.Ended() {
		c.stageChange(view.key())
	}
}

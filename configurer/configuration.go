// Package configurer expands templates and the parameter values of organisations into
// the configuration in force. All processes agree on it through the store.
//
// A change is committed by compare-and-swap on one document. It is accepted once every
// process that may run a configuration has confirmed a revision at least as new; this
// does not depend on clocks. See docs/design/config.md.
package configurer

import (
	"time"

	"zinniashore.example/placer"
)

// Configuration is the result of expanding the templates with the organisations'
// parameter values. It is immutable.
type Configuration struct {
	// Revision is the number of changes committed so far. Zero is the empty
	// configuration.
	Revision int64
	// Organisations are the names of the organisations, sorted.
	Organisations []string
	// Services are the services of all organisations, sorted by organisation and name.
	Services []Service
	// Batches are the kinds of batch jobs that may be submitted, sorted by
	// organisation and name.
	Batches []Batch
	// Quotas are the quotas of the organisations that have one, sorted by
	// organisation.
	Quotas []Quota
}

// Service is one latency-critical service of an organisation.
type Service struct {
	// Organisation owns the service.
	Organisation string
	// Name identifies the service within its organisation.
	Name string
	// Template is the name of the template that it was expanded from.
	Template string
	// Instances is the number of instances to run.
	Instances int
	// Size is the declared size of one instance.
	Size placer.Size
	// Priority orders tasks; higher priorities are placed first.
	Priority int
	// FailureDomains are the failure domains where instances may run. Empty means any.
	FailureDomains []string
	// Slots is the number of requests that one instance serves concurrently.
	Slots int
	// Connections is the number of connections that one instance accepts.
	Connections int
}

// Batch is a kind of batch job that an organisation may submit.
type Batch struct {
	// Organisation owns the jobs.
	Organisation string
	// Name identifies the kind within its organisation.
	Name string
	// Template is the name of the template that it was expanded from.
	Template string
	// Size is the declared size of a task.
	Size placer.Size
	// Priority orders tasks; higher priorities are placed first.
	Priority int
	// Urgent marks jobs that must start within the limit for urgent jobs.
	Urgent bool
	// FailureDomains are the failure domains where tasks may run. Empty means any.
	FailureDomains []string
	// Window is the daily time window in which tasks may run. Its zero value means
	// always.
	Window Window
	// RunTime is the declared run time of a task.
	RunTime time.Duration
}

// Quota is the amount of resources that an organisation may use without borrowing.
type Quota struct {
	// Organisation is the name of the organisation.
	Organisation string
	// Limit is the organisation's share of the resources of all workers.
	Limit placer.Size
}

// Service returns the service with an organisation and name, and whether it exists.
func (c Configuration) Service(organisation, name string) (Service, bool) {
	for _, service := range c.Services {
		if service.Organisation == organisation && service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// Batch returns the kind of batch job with an organisation and name, and whether it
// exists.
func (c Configuration) Batch(organisation, name string) (Batch, bool) {
	for _, batch := range c.Batches {
		if batch.Organisation == organisation && batch.Name == name {
			return batch, true
		}
	}
	return Batch{}, false
}

// quota returns the quota of an organisation, or the zero Quota if it has none.
func (c Configuration) quota(organisation string) Quota {
	for _, quota := range c.Quotas {
		if quota.Organisation == organisation {
			return quota
		}
	}
	return Quota{}
}

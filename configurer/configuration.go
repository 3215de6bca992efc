// Package configurer turns templates and the parameter values of organisations
// into the configuration in force, and agrees on it through the store.
//
// A change is committed by compare-and-swap on one document. It is accepted
// once every process that may run a configuration has confirmed a revision at
// least as new; no step of that rests on a clock. See docs/design/config.md.
package configurer

import (
	"time"

	"zinniashore.example/placer"
)

// Configuration is what the organisations' parameter values expand to. It is
// not changed once made.
type Configuration struct {
	// Revision counts the changes since the first. Zero is the empty
	// configuration.
	Revision int64
	// Organisations are the names of the organisations, sorted.
	Organisations []string
	// Services are the services of all organisations, by organisation and name.
	Services []Service
	// Batches are the kinds of batch jobs that may be submitted, by
	// organisation and name.
	Batches []Batch
	// Quotas are the quotas of the organisations that have one.
	Quotas []Quota
}

// Service is one latency-critical service of an organisation.
type Service struct {
	// Organisation owns the service.
	Organisation string
	// Name names the service within its organisation.
	Name string
	// Template is the template that it was made from.
	Template string
	// Instances is how many instances run.
	Instances int
	// Size is the declared size of one instance.
	Size placer.Size
	// Priority orders tasks; higher goes first.
	Priority int
	// FailureDomains are where instances may run; empty is any.
	FailureDomains []string
	// Slots is how many requests one instance serves at once.
	Slots int
	// Connections is how many connections one instance accepts.
	Connections int
}

// Batch is a kind of batch job that an organisation may submit.
type Batch struct {
	// Organisation owns the jobs.
	Organisation string
	// Name names the kind within its organisation.
	Name string
	// Template is the template that it was made from.
	Template string
	// Size is the declared size of a task.
	Size placer.Size
	// Priority orders tasks; higher goes first.
	Priority int
	// Urgent marks jobs that start within the urgent start limit.
	Urgent bool
	// FailureDomains are where tasks may run; empty is any.
	FailureDomains []string
	// Window is when tasks may run. Its zero value is always.
	Window Window
	// RunTime is the declared run time of a task.
	RunTime time.Duration
}

// Quota is what an organisation may use without borrowing.
type Quota struct {
	// Organisation is the organisation.
	Organisation string
	// Limit is its share of all workers.
	Limit placer.Size
}

// Service returns a service by organisation and name.
func (c Configuration) Service(organisation, name string) (Service, bool) {
	for _, service := range c.Services {
		if service.Organisation == organisation && service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// Batch returns a kind of batch job by organisation and name.
func (c Configuration) Batch(organisation, name string) (Batch, bool) {
	for _, batch := range c.Batches {
		if batch.Organisation == organisation && batch.Name == name {
			return batch, true
		}
	}
	return Batch{}, false
}

// quota returns the quota of an organisation, or a zero one.
func (c Configuration) quota(organisation string) Quota {
	for _, quota := range c.Quotas {
		if quota.Organisation == organisation {
			return quota
		}
	}
	return Quota{}
}

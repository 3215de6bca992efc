package configurer

import "zinniashore.example/recorder"

// Kinds of events recorded by a Configurer.
const (
	// EventCommitted is recorded when a change is durable in the store.
	EventCommitted recorder.Kind = "configuration_committed"
	// EventInForce is recorded when a revision comes into force in this process.
	EventInForce recorder.Kind = "configuration_in_force"
	// EventConfirmed is recorded when this process confirms a revision.
	EventConfirmed recorder.Kind = "configuration_confirmed"
	// EventAccepted is recorded when this process finds a revision confirmed in every
	// failure domain.
	EventAccepted recorder.Kind = "configuration_accepted"
	// EventRegistered is recorded when this process has registered as a member, which
	// may run a configuration.
	EventRegistered recorder.Kind = "configuration_registered"
	// EventReleased is recorded when an operator has declared a VM gone.
	EventReleased recorder.Kind = "configuration_released"
)

// Recorder records events of the time line.
type Recorder interface {
	// Record adds a timestamp to an event and stores it.
	Record(event recorder.Event) recorder.Timestamp
}

func (c *Configurer) record(kind recorder.Kind, organisation string, revision int64) {
	c.Recorder.Record(recorder.Event{Kind: kind, Organisation: organisation, Revision: revision, VM: c.VM})
}

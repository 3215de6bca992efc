// Package evacuator follows the failure domains in which operators have requested that no task
// start. An Evacuator also records these requests, for the product's own interface; on the
// users' platform the operators write them, and a Tracker follows them.
package evacuator

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"zinniashore.example/keeper"
	"zinniashore.example/recorder"
)

// Kinds of events recorded by an Evacuator.
const (
	// EventBegun is recorded when the evacuation of a failure domain is durable.
	EventBegun recorder.Kind = "evacuation_begun"
	// EventEnded is recorded when the end of an evacuation is durable.
	EventEnded recorder.Kind = "evacuation_ended"
)

// Prefix is the prefix of the store keys of evacuations.
const Prefix = keeper.WatchedPrefix + "evacuations/"

// errUnchanged ends an update whose result is already stored.
var errUnchanged = errors.New("evacuation: unchanged")

// Evacuation is an operator's request that no task start in a failure domain. It lasts
// until an operator ends it.
type Evacuation struct {
	// FailureDomain is the failure domain.
	FailureDomain string
	// Operator is the name of the operator.
	Operator string
	// Since is the time of the request.
	Since time.Time
}

// Recorder records events of the time line.
type Recorder interface {
	// Record adds a timestamp to an event and stores it.
	Record(event recorder.Event) recorder.Timestamp
}

// Evacuator records evacuations and follows those that are in force. Its exported fields
// are set before use. It is safe for concurrent use. Begin, End and List return the
// errors of keeper.Keeper if the store fails.
type Evacuator struct {
	// Keeper accesses the store.
	Keeper *keeper.Keeper
	// Mirror is the store watch that all parts of the process share.
	Mirror *keeper.Mirror
	// Clock gives the time at which an evacuation begins.
	Clock clockwork.Clock
	// Recorder records events.
	Recorder Recorder
	// FailureDomains are the names of all failure domains.
	FailureDomains []string

	// evacuated are the evacuated failure domains, nil until the mirror has been read.
	evacuated atomic.Pointer[map[string]bool]
}

// Follow subscribes to the evacuations in the mirror. It is called once, before the
// mirror runs.
func (e *Evacuator) Follow() { e.Mirror.Subscribe(Prefix, e.observe) }

// observe replaces the evacuated failure domains by those of the mirror's entries.
func (e *Evacuator) observe(entries []keeper.Entry) {
	evacuated := map[string]bool{}
	for _, entry := range entries {
		evacuated[strings.TrimPrefix(entry.Key, Prefix)] = true
	}
	e.evacuated.Store(&evacuated)
}

// Evacuated reports whether a failure domain is evacuated. This is not known until the
// mirror has been read. A record that this version cannot read is in force too.
func (e *Evacuator) Evacuated(failureDomain string) (evacuated, known bool) {
	domains := e.evacuated.Load()
	if domains == nil {
		return false, false
	}
	return (*domains)[failureDomain], true
}

// Begin records the evacuation of a failure domain and returns it as stored. An
// evacuation that is already recorded is kept. It returns an *UnknownDomainError for a
// failure domain that does not exist.
func (e *Evacuator) Begin(ctx context.Context, failureDomain, operator string) (Evacuation, error) {
	if err := e.validate(failureDomain); err != nil {
		return Evacuation{}, err
	}
	result := Evacuation{}
	_, err := e.Keeper.Update(ctx, key(failureDomain), func(current keeper.Document) ([]byte, error) {
		if current.Body != nil {
			// A record that this version cannot read is in force too.
			result, _ = decodeBody(current)
			return nil, errUnchanged
		}
		result = Evacuation{FailureDomain: failureDomain, Operator: operator, Since: e.Clock.Now()}
		return encode(result)
	})
	if errors.Is(err, errUnchanged) {
		return result, nil
	}
	if err != nil {
		return Evacuation{}, err
	}
	e.record(EventBegun, failureDomain, operator)
	return result, nil
}

// End removes the evacuation of a failure domain, if there is one. It returns an
// *UnknownDomainError for a failure domain that does not exist.
func (e *Evacuator) End(ctx context.Context, failureDomain, operator string) error {
	if err := e.validate(failureDomain); err != nil {
		return err
	}
	_, err := e.Keeper.Update(ctx, key(failureDomain), func(current keeper.Document) ([]byte, error) {
		if current.Body == nil {
			return nil, errUnchanged
		}
		return nil, nil
	})
	if errors.Is(err, errUnchanged) {
		return nil
	}
	if err != nil {
		return err
	}
	e.record(EventEnded, failureDomain, operator)
	return nil
}

// List returns the evacuations, sorted by failure domain. While the store is
// unavailable, it returns those that the process follows.
func (e *Evacuator) List(ctx context.Context) ([]Evacuation, error) {
	listing, err := e.Keeper.Store.List(ctx, Prefix)
	if err == nil {
		return decodeAll(listing.Entries), nil
	}
	if _, known := e.Evacuated(""); !known {
		return nil, err
	}
	return decodeAll(e.Mirror.Entries(Prefix)), nil
}

// validate returns an *UnknownDomainError for a failure domain that does not exist.
func (e *Evacuator) validate(failureDomain string) error {
	if !slices.Contains(e.FailureDomains, failureDomain) {
		return &UnknownDomainError{FailureDomain: failureDomain}
	}
	return nil
}

func (e *Evacuator) record(kind recorder.Kind, failureDomain, operator string) {
	klog.InfoS("Evacuation changed", "kind", kind, "failureDomain", failureDomain, "operator", operator)
	e.Recorder.Record(recorder.Event{Kind: kind, Detail: failureDomain + " by " + operator})
}

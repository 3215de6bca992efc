package owner

import (
	"bytes"
	"context"
	"time"

	"k8s.io/klog/v2"

	"zinniashore.example/keeper"
	"zinniashore.example/placer"
	"zinniashore.example/publisher"
)

// publication is the list of endpoints of a cell as last written. current is true
// unless another owner may have overwritten it since.
type publication struct {
	content []byte
	version int64
	current bool
	writing bool
}

// publish writes the endpoints of the cell to the store if they have changed, or if
// an earlier owner has overwritten them.
func (c *cell) publish(now time.Time) {
	p := &c.publication
	if p.writing {
		return
	}
	key := publisher.Prefix + c.spec.ID
	if p.current && c.mirrorHasNewer(key, p.version) {
		p.current = false
	}
	endpoints, leaving := c.endpoints()
	content, err := publisher.EncodeList(endpoints)
	if err != nil {
		klog.ErrorS(err, "Failed to encode endpoints", "cell", c.spec.ID)
		return
	}
	if p.current && bytes.Equal(content, p.content) {
		c.beginDrains(leaving, now)
		return
	}
	if !p.current && len(endpoints) == 0 && !c.hasEndpoints(key) {
		return
	}
	p.writing = true
	c.spawn(func() {
		document, err := c.owner.Keeper.Update(c.ctx, key, func(keeper.Document) ([]byte, error) { return content, nil })
		c.post(func() { c.handlePublished(document, content, err) })
	})
}

// inheritEndpoints reads the endpoints that an earlier owner published. They stay
// published until their instances are resolved.
func (c *cell) inheritEndpoints(ctx context.Context) error {
	document, err := c.owner.Keeper.Read(ctx, publisher.Prefix+c.spec.ID)
	if err != nil || document.Body == nil {
		return err
	}
	endpoints, err := publisher.DecodeList(document.Body)
	if err != nil {
		return err
	}
	c.inheritedEndpoints = make(map[string]publisher.Endpoint, len(endpoints))
	for _, e := range endpoints {
		c.inheritedEndpoints[e.Task] = e
	}
	return nil
}

func (c *cell) hasEndpoints(key string) bool { return len(c.owner.Mirror.Entries(key)) > 0 }

func (c *cell) handlePublished(document keeper.Document, content []byte, err error) {
	c.publication.writing = false
	if err != nil {
		klog.V(1).InfoS("Failed to write endpoints", "cell", c.spec.ID, "err", err)
		return
	}
	c.publication = publication{content: content, version: document.Version, current: true}
}

// beginDrains starts the drain time of instances that are now published as leaving.
func (c *cell) beginDrains(leaving []*task, now time.Time) {
	for _, t := range leaving {
		if t.leavingSince.IsZero() {
			t.leavingSince = now
		}
	}
}

// endpoints returns the endpoints of the running instances, and the tasks of those
// that are leaving.
func (c *cell) endpoints() ([]publisher.Endpoint, []*task) {
	var endpoints []publisher.Endpoint
	var leaving []*task
	for _, t := range c.sortedTasks() {
		if e, found := c.inheritedEndpoints[t.record.id]; found && t.phase == phaseResolving && e.Attempt == int(t.record.attempt) {
			endpoints = append(endpoints, e)
			continue
		}
		if t.record.class != placer.ClassService || t.address == "" || !t.occupiesWorker() {
			continue
		}
		state := publisher.EndpointReady
		if t.phase != phaseRunning {
			state = publisher.EndpointLeaving
			leaving = append(leaving, t)
		}
		endpoints = append(endpoints, c.endpoint(t, state))
	}
	return endpoints, leaving
}

func (c *cell) endpoint(t *task, state publisher.EndpointState) publisher.Endpoint {
	return publisher.Endpoint{
		Task: t.record.id, Attempt: int(t.record.attempt), Organisation: t.record.organisation,
		Service: serviceName(t.demand.group), Address: t.address, VM: t.worker(),
		FailureDomain: c.spec.FailureDomain, Slots: t.record.settings.slots,
		Connections: t.record.settings.connections, State: state,
	}
}

package configurer

import (
	"context"

	"k8s.io/klog/v2"

	"zinniashore.example/keeper"
)

// Follow subscribes to changes of the configuration in the mirror. It is called once,
// before the mirror runs.
func (c *Configurer) Follow() {
	c.Mirror.Subscribe(documentKey, c.observe)
}

func (c *Configurer) observe(entries []keeper.Entry) {
	for _, entry := range entries {
		if entry.Key != documentKey {
			continue
		}
		if err := c.adoptEntry(entry); err != nil {
			klog.ErrorS(err, "Failed to bring the watched configuration into force", "vm", c.VM)
		}
	}
}

func (c *Configurer) adoptEntry(entry keeper.Entry) error {
	stored, err := keeper.DecodeDocument(entry)
	if err != nil {
		return err
	}
	return c.adopt(stored.Body)
}

// adopt brings a document into force if it is newer than the current one. It returns
// an error if this process cannot read or expand the document.
func (c *Configurer) adopt(body []byte) error {
	c.adoptMu.Lock()
	defer c.adoptMu.Unlock()
	document, err := decodeDocument(body)
	if err != nil {
		return err
	}
	if document.Revision <= c.Document().Revision {
		return nil
	}
	configuration, faults := Expand(document.Templates, document.Organisations, c.FailureDomains)
	if len(faults) > 0 {
		return &rejectedError{faults: faults}
	}
	configuration.Revision = document.Revision
	c.install(document, configuration)
	c.record(EventInForce, "", document.Revision)
	c.wakeRun()
	return nil
}

// refresh reads the document from the store and brings it into force.
func (c *Configurer) refresh(ctx context.Context) error {
	stored, err := c.Keeper.Read(ctx, documentKey)
	if err != nil {
		return err
	}
	c.lastRead = c.Clock.Now()
	return c.adopt(stored.Body)
}

// install makes the configuration current and notifies the subscribers. The caller
// holds adoptMu.
func (c *Configurer) install(document Document, configuration Configuration) {
	c.mu.Lock()
	c.document = document
	c.current = configuration
	subscribers := c.subscribers
	c.mu.Unlock()
	for _, notify := range subscribers {
		notify(configuration)
	}
}

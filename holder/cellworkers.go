package holder

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"zinniashore.example/archiver"
	"zinniashore.example/platform"
)

// cellWorkersTimeout bounds the calls that find out whether a cell has workers.
const cellWorkersTimeout = time.Second

// Configurations provides the newest configuration.
type Configurations interface {
	// Configuration returns the configuration, and whether it is known.
	Configuration() (platform.Configuration, bool)
}

// CellWorkers finds out whether the workers of cells are registered. Its exported fields are set before the first call.
type CellWorkers struct {
	Store          *platform.Store
	Archiver       *archiver.Archiver
	Configurations Configurations
	Partition      Partition
}

// Registered reports whether the registry lists more than half of a cell's workers. The
// registrations of a failure domain that is cut off expire. It reports false if the store
// doesn't answer within a second.
func (c *CellWorkers) Registered(ctx context.Context, cell string) bool {
	ctx, cancel := context.WithTimeout(ctx, cellWorkersTimeout)
	defer cancel()
	stored, err := c.Archiver.Workers(ctx, cell)
	if err != nil {
		klog.InfoS("Reading the workers of a cell without a holder failed", "cell", cell, "err", err)
		return false
	}
	items, _, err := c.Store.List(ctx, platform.RegistrationPrefix)
	if err != nil {
		klog.InfoS("Reading the registered workers of a cell without a holder failed", "cell", cell, "err", err)
		return false
	}
	listed := c.registeredIn(cell, items)
	count := len(listed)
	for _, worker := range stored {
		listed[worker.ID] = true
	}
	return 2*count > len(listed)
}

// registeredIn returns the ids of the workers of a cell that the registry lists.
func (c *CellWorkers) registeredIn(cell string, items []platform.Item) map[string]bool {
	configuration, _ := c.Configurations.Configuration()
	ids := map[string]bool{}
	for _, item := range items {
		registration, err := platform.DecodeRegistration(item)
		if err != nil {
			klog.V(1).InfoS("Leaving out a registration that can't be decoded", "worker", registration.ID, "err", err)
			continue
		}
		if c.Partition.Contains(cell, registration) && configuration.Services[registration.Service] {
			ids[registration.ID] = true
		}
	}
	return ids
}

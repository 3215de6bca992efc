package zinniashore

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"zinniashore.example/archiver"
	"zinniashore.example/platform"
)

// cellWorkersTimeout bounds the calls that find out whether a cell has workers.
const cellWorkersTimeout = time.Second

// cellWorkers finds out whether the workers of cells are registered.
type cellWorkers struct {
	store          *platform.Store
	archiver       *archiver.Archiver
	configurations *configurations
	partition      *sharedPartition
}

// registered reports whether the registry lists more than half of a cell's workers. The
// registrations of a failure domain that is cut off expire.
func (c *cellWorkers) registered(ctx context.Context, cell string) bool {
	ctx, cancel := context.WithTimeout(ctx, cellWorkersTimeout)
	defer cancel()
	stored, err := c.archiver.Workers(ctx, cell)
	if err != nil {
		klog.InfoS("Reading the workers of a cell without a holder failed", "cell", cell, "err", err)
		return false
	}
	items, _, err := c.store.List(ctx, platform.RegistrationPrefix)
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
func (c *cellWorkers) registeredIn(cell string, items []platform.Item) map[string]bool {
	configuration, _ := c.configurations.Configuration()
	ids := map[string]bool{}
	for _, item := range items {
		registration, err := platform.DecodeRegistration(item)
		if err != nil {
			klog.V(1).InfoS("Leaving out a registration that can't be decoded", "worker", registration.ID, "err", err)
			continue
		}
		if c.partition.contains(cell, registration) && configuration.Services[registration.Service] {
			ids[registration.ID] = true
		}
	}
	return ids
}

package zinniashore

import (
	"slices"
	"sync/atomic"

	"zinniashore.example/acceptor"
	"zinniashore.example/dispatcher"
	"zinniashore.example/holder"
	"zinniashore.example/partitioner"
	"zinniashore.example/platform"
)

// sharedPartition is the division of failure domains into cells, once it is known.
type sharedPartition struct {
	partition atomic.Pointer[partitioner.Partition]
}

var _ holder.Partition = (*sharedPartition)(nil)

func (s *sharedPartition) set(partition partitioner.Partition) { s.partition.Store(&partition) }

// get returns the partition, and whether it is known.
func (s *sharedPartition) get() (partitioner.Partition, bool) {
	if known := s.partition.Load(); known != nil {
		return *known, true
	}
	return partitioner.Partition{}, false
}

// cells returns the cells of a failure domain.
func (s *sharedPartition) cells(failureDomain string) []string {
	partition, _ := s.get()
	return partition.Cells(failureDomain)
}

// Contains reports whether a worker is in a cell.
func (s *sharedPartition) Contains(cell string, worker dispatcher.Registration) bool {
	partition, _ := s.get()
	return partition.Cell(partitioner.Worker{FailureDomain: worker.FailureDomain, Rack: worker.Rack}) == cell
}

// In reports whether a cell is one of a failure domain.
func (s *sharedPartition) In(cell, failureDomain string) bool {
	return slices.Contains(s.cells(failureDomain), cell)
}

// dividedConfigurations provides the configuration once the cells are known: before that no job
// can be accepted.
type dividedConfigurations struct {
	*configurations
	partition *sharedPartition
}

var _ acceptor.ConfigurationSource = dividedConfigurations{}

// Configuration implements acceptor.ConfigurationSource.
func (d dividedConfigurations) Configuration() (platform.Configuration, bool) {
	configuration, known := d.configurations.Configuration()
	_, divided := d.partition.get()
	return configuration, known && divided
}

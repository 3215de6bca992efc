// Package lister reads the platform's list of VMs. The list lags and may be
// wrong in both directions.
package lister

import "zinniashore.example/placer"

// Role tells what a VM is for.
type Role string

// Roles of VMs.
const (
	// RoleWorker runs tasks.
	RoleWorker Role = "worker"
	// RoleEntry runs a process of this system.
	RoleEntry Role = "entry"
)

// State is what the list says of a VM.
type State string

// States of VMs.
const (
	// StateLive is running.
	StateLive State = "live"
	// StateLeaving is about to stop.
	StateLeaving State = "leaving"
)

// VM is one row of the platform's list.
type VM struct {
	// ID names the VM.
	ID string
	// Role tells what it is for.
	Role Role
	// Address is its IP address and port.
	Address string
	// FailureDomain is its failure domain.
	FailureDomain string
	// Rack is its rack.
	Rack string
	// State is what the list says of it.
	State State
	// Capacity is what it can carry.
	Capacity placer.Size
}

type vmMessage struct {
	ID            string `json:"id"`
	Role          string `json:"role"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Rack          string `json:"rack"`
	State         string `json:"state"`
	Processors    int64  `json:"processors_milli"`
	Memory        int64  `json:"memory_bytes"`
	Accelerators  int64  `json:"accelerators"`
}

func (m vmMessage) vm() VM {
	return VM{
		ID:            m.ID,
		Role:          Role(m.Role),
		Address:       m.Address,
		FailureDomain: m.FailureDomain,
		Rack:          m.Rack,
		State:         State(m.State),
		Capacity: placer.Size{
			Processors:   m.Processors,
			Memory:       m.Memory,
			Accelerators: m.Accelerators,
		},
	}
}

// Package lister reads the platform's list of VMs. The list lags behind: it may contain
// VMs that are gone and lack VMs that exist.
package lister

import "zinniashore.example/placer"

// Role is the purpose of a VM.
type Role string

// Roles of VMs.
const (
	// RoleWorker is the role of a VM that runs tasks.
	RoleWorker Role = "worker"
	// RoleEntry is the role of a VM that runs a process of this system.
	RoleEntry Role = "entry"
)

// State is the state of a VM in the list.
type State string

// States of VMs.
const (
	// StateLive is the state of a running VM.
	StateLive State = "live"
	// StateLeaving is the state of a VM that is about to stop.
	StateLeaving State = "leaving"
)

// VM is an entry of the platform's list.
type VM struct {
	// ID is the id of the VM.
	ID string
	// Role is the purpose of the VM.
	Role Role
	// Address is the IP address and port of the VM.
	Address string
	// FailureDomain is the failure domain of the VM.
	FailureDomain string
	// Rack is the rack of the VM.
	Rack string
	// State is the state of the VM in the list.
	State State
	// Capacity is the total of the VM's resources.
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

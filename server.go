// Package zinniashore schedules latency-critical services and batch work on
// shared VMs. It wires the roles of an entry VM's process.
package zinniashore

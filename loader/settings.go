// Package loader reads and checks the settings file of a process.
package loader

import "time"

// Settings are the checked settings of an entry VM's process.
type Settings struct {
	// Process is the id of the entry VM, unique among all.
	Process string
	// FailureDomain is the failure domain of the entry VM.
	FailureDomain string
	// FailureDomains are all failure domains.
	FailureDomains []string
	// Addresses are the addresses that the process listens on.
	Addresses Addresses
	// Store is how to reach the platform's key-value service.
	Store Store
	// Platform is how to read the platform's list of VMs.
	Platform Platform
	// Cells are the cells of all failure domains.
	Cells []Cell
	// Seats are the shares of slots and keys in each failure domain.
	Seats Seats
	// Requests are the limits of the request path.
	Requests Requests
	// Tasks are the leases and periods of the task path.
	Tasks Tasks
	// Shutdown bounds the graceful shutdown.
	Shutdown Shutdown
	// Tokens authenticate callers and operators.
	Tokens []Token
}

// Addresses are IP addresses and ports to listen on.
type Addresses struct {
	// Callers takes requests.
	Callers string
	// Administration takes operators' calls and scrapes.
	Administration string
	// Peers takes calls of other entry VMs.
	Peers string
}

// Store is how to reach the platform's key-value service.
type Store struct {
	// Address is its IP address and port.
	Address string
	// Lease is the length of the process's lease.
	Lease time.Duration
	// Renewal is the time between two renewals.
	Renewal time.Duration
	// DriftMargin is taken off each lease for clocks that run apart.
	DriftMargin time.Duration
}

// Platform is how to read the platform's list of VMs.
type Platform struct {
	// Address is its IP address and port.
	Address string
	// Period is the time between two reads.
	Period time.Duration
}

// Cell is a group of racks that one entry VM owns at a time.
type Cell struct {
	// ID names the cell.
	ID string
	// FailureDomain is its failure domain.
	FailureDomain string
	// Racks are its racks; none means every rack of the failure domain.
	Racks []string
}

// Seats are the shares of slots and keys in each failure domain.
type Seats struct {
	// Count is the number of seats of each failure domain.
	Count int
	// Promise is how long a promise of a peer holds during a store outage.
	Promise time.Duration
	// Heartbeat is the time between two heartbeats to a peer.
	Heartbeat time.Duration
}

// Requests are the limits of the request path.
type Requests struct {
	// Longest is the longest time that a request may take.
	Longest time.Duration
	// Queue is how many requests may wait.
	Queue int
	// BodyBytes is the largest body of a request.
	BodyBytes int64
	// AnswerBytes is the largest body of an answer.
	AnswerBytes int64
	// KeyWindow is how long the outcome of an idempotency key is kept.
	KeyWindow time.Duration
	// Keys is how many idempotency keys are kept.
	Keys int
}

// Tasks are the leases and periods of the task path.
type Tasks struct {
	// Lease is how long a worker runs tasks without a renewal.
	Lease time.Duration
	// Renewal is the time between two renewals.
	Renewal time.Duration
	// Period is the time between two decisions.
	Period time.Duration
	// Drain is how long an endpoint leaves before it is stopped.
	Drain time.Duration
}

// Shutdown bounds the graceful shutdown.
type Shutdown struct {
	// Limit is how long requests in flight are waited for.
	Limit time.Duration
}

// TokenRole tells what a token may be used for.
type TokenRole string

// Roles of tokens.
const (
	// TokenOperator changes the configuration of every organisation.
	TokenOperator TokenRole = "operator"
	// TokenOrganisation acts for one organisation.
	TokenOrganisation TokenRole = "organisation"
)

// Token authenticates a caller or an operator.
type Token struct {
	// Role tells what the token may be used for.
	Role TokenRole
	// Organisation is the organisation of a TokenOrganisation.
	Organisation string
	// Secret is the token itself. It is never logged.
	Secret string
}

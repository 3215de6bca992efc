// Package loader reads and checks the settings file of a process.
package loader

import "time"

// Settings are the checked settings of an entry VM's process.
type Settings struct {
	// Process is the id of the entry VM. No other entry VM has the same id.
	Process string
	// FailureDomain is the failure domain of the entry VM.
	FailureDomain string
	// FailureDomains are the names of all failure domains.
	FailureDomains []string
	// Addresses are the addresses that the process listens on.
	Addresses Addresses
	// Store configures the access to the platform's key-value service.
	Store Store
	// Platform configures the access to the platform's list of VMs.
	Platform Platform
	// Cells are the cells of all failure domains.
	Cells []Cell
	// Seats configures the shares of slots and keys in each failure domain.
	Seats Seats
	// Requests limits the request path.
	Requests Requests
	// Tasks configures the leases and periods of the task path.
	Tasks Tasks
	// Shutdown limits the graceful shutdown.
	Shutdown Shutdown
	// Limits limits what clients can take up.
	Limits Limits
	// Tokens authenticate callers and operators.
	Tokens []Token
}

// Addresses are IP addresses and ports to listen on.
type Addresses struct {
	// Callers is the address for requests of callers.
	Callers string
	// Administration is the address for operators' calls and metrics scrapes.
	Administration string
	// Peers is the address for calls of other entry VMs.
	Peers string
}

// Store configures the access to the platform's key-value service.
type Store struct {
	// Address is its IP address and port.
	Address string
	// Lease is the duration of the process's lease.
	Lease time.Duration
	// Renewal is the interval between two renewals of the lease.
	Renewal time.Duration
	// DriftMargin is subtracted from the duration of each lease, because clocks run at
	// different rates.
	DriftMargin time.Duration
}

// Platform configures the access to the platform's list of VMs.
type Platform struct {
	// Address is its IP address and port.
	Address string
	// Period is the interval between two reads.
	Period time.Duration
}

// Cell is a group of racks that one entry VM owns at a time.
type Cell struct {
	// ID names the cell.
	ID string
	// FailureDomain is its failure domain.
	FailureDomain string
	// Racks are the racks of the cell. Empty means every rack of the failure domain.
	Racks []string
}

// Seats configures the shares of slots and keys in each failure domain.
type Seats struct {
	// Count is the number of seats of each failure domain.
	Count int
	// Promise is how long the lease that a peer grants is valid during a store outage.
	Promise time.Duration
	// Heartbeat is the interval between two heartbeats to a peer.
	Heartbeat time.Duration
}

// Requests limits the request path.
type Requests struct {
	// MaxDuration is the maximum duration of a request.
	MaxDuration time.Duration
	// Queue is the maximum number of waiting requests.
	Queue int
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64
	// AnswerBytes is the maximum size of an answer body.
	AnswerBytes int64
	// KeyWindow is how long the outcome of an idempotency key is kept.
	KeyWindow time.Duration
	// Keys is the maximum number of idempotency keys kept.
	Keys int
}

// Tasks configures the leases and periods of the task path.
type Tasks struct {
	// Lease is how long a worker keeps running tasks without a renewal.
	Lease time.Duration
	// Renewal is the interval between two renewals of the lease.
	Renewal time.Duration
	// Period is the interval between two scheduling decisions.
	Period time.Duration
	// Drain is how long an endpoint drains before it is stopped.
	Drain time.Duration
}

// Shutdown limits the graceful shutdown.
type Shutdown struct {
	// Limit is the maximum time to wait for requests in flight.
	Limit time.Duration
}

// Limits limits what clients can take up.
type Limits struct {
	// Connections, AdministrationConnections and PeerConnections are the numbers of connections
	// that callers, clients of the administration API and peers may have open.
	Connections, AdministrationConnections, PeerConnections int
	// RequestBytes is the memory, in bytes, for the requests in progress.
	RequestBytes int64
	// HeaderBytes and HeaderLines limit the header of a request.
	HeaderBytes, HeaderLines int
	// HeaderTime is how long a client may take to send a header, RequestTime a header and its
	// body, and AnswerTime to read a part of an answer.
	HeaderTime, RequestTime, AnswerTime time.Duration
	// IdleTime is how long a connection may stay open without a request.
	IdleTime time.Duration
}

// TokenRole is what a token authorizes its bearer to do.
type TokenRole string

// Roles of tokens.
const (
	// TokenOperator authorizes changes of the configuration of every organisation.
	TokenOperator TokenRole = "operator"
	// TokenOrganisation authorizes calls on behalf of one organisation.
	TokenOrganisation TokenRole = "organisation"
)

// Token authenticates a caller or an operator.
type Token struct {
	// Role is what the token authorizes its bearer to do.
	Role TokenRole
	// Organisation is the organisation of a token with the role TokenOrganisation.
	Organisation string
	// Secret is the token itself. It is never logged.
	Secret string
}

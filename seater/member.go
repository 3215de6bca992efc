package seater

import (
	"time"

	"google.golang.org/grpc"
)

// Member is an entry VM as this process sees it.
type Member struct {
	// VM is the entry VM.
	VM string
	// Incarnation names one run of its process.
	Incarnation string
	// FailureDomain is its failure domain.
	FailureDomain string
	// Address is the IP address and port of its gRPC server.
	Address string
	// Alive tells that it answered one of the last heartbeats.
	Alive bool
	// Draining tells that it takes no new work.
	Draining bool
	// Since is when Alive last changed, zero if it never answered.
	Since time.Time
	// Connection reaches it. It is replaced when it goes silent, so a caller
	// takes it anew for each call.
	Connection grpc.ClientConnInterface
}

// Status is what an operator wants to know of the seats.
type Status struct {
	// Rosters are the known rosters, by failure domain.
	Rosters []Roster
	// Usable are the seats that this process may use now.
	Usable []Seat
	// Members are all entry VMs.
	Members []Member
	// SessionValid tells that the store lease of this process stands.
	SessionValid bool
	// Promised tells that another member promises that the seats stay here.
	Promised bool
}

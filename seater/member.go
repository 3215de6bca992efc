package seater

import (
	"time"

	"google.golang.org/grpc"
)

// Member describes an entry VM as this process sees it.
type Member struct {
	// VM names the entry VM.
	VM string
	// Incarnation names one run of its process.
	Incarnation string
	// FailureDomain is its failure domain.
	FailureDomain string
	// Address is the IP address and port of its gRPC server.
	Address string
	// Alive is set if the member answered one of the last heartbeats.
	Alive bool
	// Draining is set if the member accepts no new work.
	Draining bool
	// Since is when Alive last changed, zero if the member never answered.
	Since time.Time
	// Connection is the gRPC connection to the member. It is replaced when the member
	// stops answering, so a caller reads it again for each call.
	Connection grpc.ClientConnInterface
}

// Status describes the seats and members for an operator.
type Status struct {
	// Rosters are the known rosters, by failure domain.
	Rosters []Roster
	// Usable are the seats that this process may use now.
	Usable []Seat
	// Members are all other entry VMs.
	Members []Member
	// SessionValid is set if the store lease of this process is valid.
	SessionValid bool
	// Promised is set if another member promises that this process keeps its seats.
	Promised bool
}

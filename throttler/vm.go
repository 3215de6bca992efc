package throttler

import "time"

const (
	// headerTimeout is how long a client may take to send a header.
	headerTimeout = 5 * time.Second
	// requestTimeout is how long a client may take to send a header and its body. A client may
	// wait 3 s for the answer to a body of a few kilobytes.
	requestTimeout = 10 * time.Second
	// answerTimeout is how long a write of a part of an answer may take.
	answerTimeout = 10 * time.Second
	// idleTimeout is how long a connection may stay open without a request.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes and maxHeaderLines limit the memory of a header: net/http takes some 100
	// bytes for each line, however short it is.
	maxHeaderBytes = 16 << 10
	maxHeaderLines = 100

	// assumedMemory, in bytes, and assumedDescriptors are those of the platform's smallest VM.
	assumedMemory      = 184 << 20
	assumedDescriptors = 4100
	// fileDescriptors is the number of descriptors that are reserved for files.
	fileDescriptors = 200
	// connectionBytes is the memory, in bytes, of a connection without a request.
	connectionBytes = 16 << 10
	// minRequestBytes is the least memory, in bytes, for requests in progress. Half of it holds one job of the
	// largest size.
	minRequestBytes = 12 << 20
)

// Divisors that give the shares of the memory of a VM and of its descriptors beyond
// fileDescriptors.
const (
	requestMemoryDivisor    = 8
	connectionMemoryDivisor = 3
	// outgoingDivisor gives the share of connections to workers, peers and the store.
	outgoingDivisor = 6
	// peerDivisor leaves room for a connection from each of some hundreds of entry VMs.
	peerDivisor      = 8
	readinessDivisor = 32
	metricsDivisor   = 64
)

// VMShares is how the memory and the descriptors of a VM are divided.
type VMShares struct {
	// Clients, Readiness, Metrics and Peers are the numbers of connections that the listeners accept.
	Clients, Readiness, Metrics, Peers int
	// RequestBytes is the memory, in bytes, for requests in progress.
	RequestBytes int64
}

// DivideVM divides the memory, in bytes, and the descriptors of a VM. Zero means unknown.
func DivideVM(memory, descriptors int64) VMShares {
	if memory == 0 {
		memory = assumedMemory
	}
	if descriptors == 0 {
		descriptors = assumedDescriptors
	}
	sockets := descriptors - fileDescriptors
	shares := VMShares{
		Readiness:    max(1, int(sockets/readinessDivisor)),
		Metrics:      max(1, int(sockets/metricsDivisor)),
		Peers:        max(1, int(sockets/peerDivisor)),
		RequestBytes: max(minRequestBytes, memory/requestMemoryDivisor),
	}
	rest := sockets - sockets/outgoingDivisor - int64(shares.Readiness+shares.Metrics+shares.Peers)
	shares.Clients = int(min(rest, memory/connectionMemoryDivisor/connectionBytes))
	return shares
}

// ClientLimits returns the limits of a listener of the users' platform.
func ClientLimits(connections int) Limits {
	return Limits{
		Connections: connections, HeaderBytes: maxHeaderBytes, HeaderLines: maxHeaderLines,
		HeaderTime: headerTimeout, RequestTime: requestTimeout, AnswerTime: answerTimeout, IdleTime: idleTimeout,
	}
}

// PeerLimits returns the limits of the listener of peers. gRPC detects peers that stop reading
// by its keepalive.
func PeerLimits(connections int) Limits {
	return Limits{Connections: connections}
}

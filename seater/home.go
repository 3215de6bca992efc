package seater

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// domainMark separates an idempotency key from the failure domain that its
// caller chose for it.
const domainMark = "@"

// Home is the seat that decides about an idempotency key, and who holds it.
type Home struct {
	// FailureDomain and Seat name the seat.
	FailureDomain string
	// Seat is the number of the seat within its failure domain.
	Seat int
	// VM is the holder, empty if the seat is free.
	VM string
	// Epoch is the epoch of the grant.
	Epoch int64
	// Local tells that this process holds the seat and may use it now.
	Local bool
	// Known tells that a holder is known to which the request can go.
	Known bool
	// Since is from when on this process saw every request of the seat. It is
	// set for a local seat only.
	Since time.Time
}

// place returns the failure domain and the seat of a key.
func place(key string, domains []string, seats func(domain string) int) (string, int) {
	if len(domains) == 0 {
		return "", 0
	}
	hash := xxhash.Sum64String(key)
	domain := domains[hash%uint64(len(domains))]
	if _, chosen, marked := strings.Cut(key, domainMark); marked {
		domain = chosenDomain(chosen, domain, domains)
	}
	count := seats(domain)
	if count == 0 {
		return domain, 0
	}
	return domain, int(hash / uint64(len(domains)) % uint64(count))
}

func chosenDomain(chosen, otherwise string, domains []string) string {
	for _, domain := range domains {
		if domain == chosen {
			return domain
		}
	}
	return otherwise
}

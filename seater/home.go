package seater

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// domainSeparator separates an idempotency key from the failure domain that its caller
// chose for it.
const domainSeparator = "@"

// Home is the seat that decides on an idempotency key, with its holder.
type Home struct {
	// FailureDomain is the failure domain of the seat.
	FailureDomain string
	// Seat is the number of the seat within its failure domain.
	Seat int
	// VM is the holder, empty if the seat is free.
	VM string
	// Epoch is the epoch of the grant.
	Epoch int64
	// Local is set if this process holds the seat and may use it now.
	Local bool
	// Known is set if the seat has a holder to which the request can be sent.
	Known bool
	// Since is the time from which this process has received every request for the
	// seat. It is set for a local seat only.
	Since time.Time
}

// locate returns the failure domain and the seat of a key.
func locate(key string, domains []string, seats func(domain string) int) (string, int) {
	if len(domains) == 0 {
		return "", 0
	}
	hash := xxhash.Sum64String(key)
	domain := domains[hash%uint64(len(domains))]
	if _, chosen, marked := strings.Cut(key, domainSeparator); marked {
		domain = chosenDomain(chosen, domain, domains)
	}
	count := seats(domain)
	if count == 0 {
		return domain, 0
	}
	return domain, int(hash / uint64(len(domains)) % uint64(count))
}

func chosenDomain(chosen, fallback string, domains []string) string {
	for _, domain := range domains {
		if domain == chosen {
			return domain
		}
	}
	return fallback
}

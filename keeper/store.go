// Package keeper accesses the platform's key-value service, the store. It determines
// the outcome of writes whose answer was lost, renews leases and mirrors watched keys.
package keeper

import (
	"context"
	"fmt"
	"time"
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// LeaseID identifies a lease of the store. Zero means no lease.
type LeaseID int64

// Entry is one key of the store with its value.
type Entry struct {
	// Key is the name of the entry.
	Key string
	// Value is the stored value. It is nil for an absent key.
	Value []byte
	// Version is the store revision of the last write of the key, or zero for
	// an absent key.
	Version int64
	// Lease is the lease with which the entry ends, or zero.
	Lease LeaseID
}

// Change is one change that a watch reports.
type Change struct {
	// Entry is the entry after the change. Its Value is nil when Deleted is set.
	Entry Entry
	// Deleted is set if the key was deleted or ended with its lease.
	Deleted bool
}

// Listing is a consistent view of the entries under a prefix.
type Listing struct {
	// Entries are the entries, sorted by key.
	Entries []Entry
	// Revision is the store revision of the view.
	Revision int64
}

// Changes are the changes under a prefix since a revision.
type Changes struct {
	// Items are the changes in the order of their versions.
	Items []Change
	// Revision is the store revision up to which Items is complete.
	Revision int64
}

// Store is the platform's key-value service. Every method returns an *UnavailableError
// or a *RefusedError if the call certainly took no effect, and an *UnclearError if it
// may have taken effect.
type Store interface {
	// Get reads one key. An absent key is an Entry of version zero.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads the keys under a prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Swap writes value if the key is at the expected version, where zero means absent,
	// and returns the new version. A nil value deletes the key. It returns a
	// *ConflictError if the key is at another version.
	Swap(ctx context.Context, key string, expected int64, value []byte, lease LeaseID) (int64, error)
	// Grant creates a lease that ends after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It returns a *LeaseExpiredError for a lease that has
	// ended.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its entries.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits up to wait for changes under a prefix that are newer than the
	// revision after. It returns a *CompactedError if the store no longer has all
	// changes since then.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
}

// ConflictError reports a swap that expected another version.
type ConflictError struct {
	// Current is the entry as it is stored now.
	Current Entry
	// Expected is the version that the swap expected.
	Expected int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: key %q is at version %d, not %d", e.Current.Key, e.Current.Version, e.Expected)
}

// UnavailableError reports a call that certainly took no effect.
type UnavailableError struct {
	// Operation is the store call.
	Operation string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store: %s unavailable: %v", e.Operation, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnclearError reports a call whose answer was lost: it may have taken effect.
type UnclearError struct {
	// Operation is the store call.
	Operation string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *UnclearError) Error() string {
	return fmt.Sprintf("store: %s unclear: %v", e.Operation, e.Err)
}

// Unwrap returns the cause.
func (e *UnclearError) Unwrap() error { return e.Err }

// RefusedError reports a call that the store refused for good, such as a value
// that is too large. It took no effect.
type RefusedError struct {
	// Operation is the store call.
	Operation string
	// Status is the HTTP status.
	Status int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("store: %s refused with status %d", e.Operation, e.Status)
}

// LeaseExpiredError reports a lease that has ended.
type LeaseExpiredError struct {
	// Lease is the lease.
	Lease LeaseID
}

// Error implements error.
func (e *LeaseExpiredError) Error() string { return fmt.Sprintf("store: lease %d has ended", e.Lease) }

// CompactedError reports a watch from a revision whose changes the store has
// compacted.
type CompactedError struct {
	// After is the requested revision.
	After int64
	// Oldest is the oldest revision that a watch can start after.
	Oldest int64
}

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("store: changes after revision %d are compacted, oldest is %d", e.After, e.Oldest)
}

// StaleError reports a listing that is older than the state read before.
type StaleError struct {
	// Revision is the revision of the listing.
	Revision int64
	// Known is the newest revision read before.
	Known int64
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("store: listing of revision %d is older than %d", e.Revision, e.Known)
}

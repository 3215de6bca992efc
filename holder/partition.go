package holder

import "zinniashore.example/dispatcher"

// Partition is the division of failure domains into cells.
type Partition interface {
	// Contains reports whether a worker is in a cell.
	Contains(cell string, worker dispatcher.Registration) bool
	// In reports whether a cell is one of a failure domain.
	In(cell, failureDomain string) bool
}

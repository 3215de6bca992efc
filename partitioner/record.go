package partitioner

import (
	"encoding/json"
	"fmt"
)

type partitionMessage struct {
	FailureDomains map[string]divisionMessage `json:"failure_domains"`
}

type divisionMessage struct {
	Cells int      `json:"cells"`
	Racks []string `json:"racks,omitempty"`
}

// encode returns the stored form of a partition.
func encode(p Partition) ([]byte, error) {
	message := partitionMessage{FailureDomains: map[string]divisionMessage{}}
	for domain, d := range p.domains {
		message.FailureDomains[domain] = divisionMessage{Cells: d.cells, Racks: d.racks}
	}
	return json.Marshal(message)
}

// CellCountError reports a stored failure domain with an impossible number of cells.
type CellCountError struct {
	// FailureDomain is the domain, Cells the stored number.
	FailureDomain string
	Cells         int
}

// Error implements error.
func (e *CellCountError) Error() string {
	return fmt.Sprintf("failure domain %q has %d cells, want 1 or more", e.FailureDomain, e.Cells)
}

// decode parses the stored form of a partition.
func decode(content []byte) (Partition, error) {
	var message partitionMessage
	if err := json.Unmarshal(content, &message); err != nil {
		return Partition{}, err
	}
	p := Partition{domains: map[string]division{}}
	for domain, m := range message.FailureDomains {
		if m.Cells < 1 {
			return Partition{}, &CellCountError{FailureDomain: domain, Cells: m.Cells}
		}
		p.domains[domain] = division{cells: m.Cells, racks: m.Racks}
	}
	return p, nil
}

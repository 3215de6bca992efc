// Package partitioner divides the workers of each failure domain into cells that one
// process each can hold. The division is stored once and never changes, so that all
// processes compute the same cell for a worker and no worker is in two cells.
package partitioner

import (
	"fmt"
	"hash/fnv"
	"slices"
)

// maxCellWorkers is the number of workers above which a failure domain has more cells.
const maxCellWorkers = 120

// cellSeparator separates the name of a failure domain from the number of a cell. No name of a
// failure domain contains it.
const cellSeparator = "#"

// Partition is the division of failure domains into cells. The zero value has one cell in
// each domain, of the domain's name.
type Partition struct {
	domains map[string]division
}

// division is the division of one failure domain.
type division struct {
	// cells is the number of cells, at least 1.
	cells int
	// racks are the racks that were known when the domain was divided, sorted.
	racks []string
}

// Worker is what the division depends on.
type Worker struct {
	// FailureDomain is the worker's failure domain.
	FailureDomain string
	// Rack is the worker's rack, empty if unknown.
	Rack string
}

// Divide divides the failure domains of workers. A domain gets as many cells as it needs for
// each to have at most maxCellWorkers workers, but no more than it has racks. The domains in
// undivided keep a single cell.
func Divide(workers []Worker, undivided map[string]bool) Partition {
	counts, racks := map[string]int{}, map[string][]string{}
	for _, w := range workers {
		counts[w.FailureDomain]++
		racks[w.FailureDomain] = append(racks[w.FailureDomain], w.Rack)
	}
	p := Partition{domains: map[string]division{}}
	for domain, count := range counts {
		slices.Sort(racks[domain])
		known := slices.Compact(racks[domain])
		cells := min((count+maxCellWorkers-1)/maxCellWorkers, len(known))
		if undivided[domain] {
			cells = 1
		}
		p.domains[domain] = division{cells: cells, racks: known}
	}
	return p
}

// Cells returns the names of the cells of a failure domain.
func (p Partition) Cells(domain string) []string {
	d := p.domains[domain]
	if d.cells <= 1 {
		return []string{domain}
	}
	names := make([]string, d.cells)
	for i := range names {
		names[i] = cellName(domain, i)
	}
	return names
}

func cellName(domain string, number int) string {
	return fmt.Sprintf("%s%s%d", domain, cellSeparator, number+1)
}

// Cell returns the cell of a worker. The racks that were known are dealt out in turn; a rack
// that was added since is assigned by a hash of its name.
func (p Partition) Cell(w Worker) string {
	d := p.domains[w.FailureDomain]
	if d.cells <= 1 {
		return w.FailureDomain
	}
	number, known := slices.BinarySearch(d.racks, w.Rack)
	if !known {
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(w.Rack))
		number = int(hash.Sum32() % uint32(d.cells))
	}
	return cellName(w.FailureDomain, number%d.cells)
}

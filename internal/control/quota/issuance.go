package quota

import "time"

// issuance counts what was issued of one limit in the newest interval, by cells of cellLength. Cells are counted as a whole, so
// that the sum covers the interval and up to a cell more.
type issuance struct {
	cells  []float64 // ring: cell number n is at n modulo the length
	newest int64     // number of the newest cell, since the holder started
	sum    float64
}

func newIssuance(interval time.Duration, cell int64) issuance {
	count := (interval+cellLength-1)/cellLength + 1
	return issuance{cells: make([]float64, count), newest: cell}
}

// advance makes a cell the newest and drops those that have left the interval.
func (s *issuance) advance(cell int64) {
	if cell <= s.newest {
		return
	}
	for range min(cell-s.newest, int64(len(s.cells))) {
		s.newest++
		s.cells[s.at(s.newest)] = 0
	}
	s.newest = cell
	s.sum = 0 // anew: sums of differences drift
	for _, amount := range s.cells {
		s.sum += amount
	}
}

func (s *issuance) at(cell int64) int64 {
	count := int64(len(s.cells))
	return (cell%count + count) % count
}

// add counts an issue in the newest cell.
func (s *issuance) add(amount float64) {
	s.cells[s.at(s.newest)] += amount
	s.sum += amount
}

// remove takes back what was issued in a cell and left nobody.
func (s *issuance) remove(cell int64, amount float64) {
	if cell > s.newest || s.newest-cell >= int64(len(s.cells)) {
		return
	}
	amount = min(amount, s.cells[s.at(cell)])
	s.cells[s.at(cell)] -= amount
	s.sum -= amount
}

// since returns what was issued in the newest cells.
func (s *issuance) since(cells int64) float64 {
	sum := 0.0
	for n := range min(cells, int64(len(s.cells))) {
		sum += s.cells[s.at(s.newest-n)]
	}
	return sum
}

// untilFreed returns how long it takes until an amount has left the interval, if nothing is issued meanwhile; the whole
// interval if there is not as much.
func (s *issuance) untilFreed(amount float64) time.Duration {
	count := int64(len(s.cells))
	for n := range count {
		if amount <= 0 {
			return time.Duration(n) * cellLength
		}
		amount -= s.cells[s.at(s.newest-count+1+n)]
	}
	return time.Duration(count) * cellLength
}

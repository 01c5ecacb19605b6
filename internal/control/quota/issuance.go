package quota

import "time"

// issuance counts the credit that was issued for one limit in the newest issuance interval, in cells of cellLength. Only complete
// cells expire, so the sum covers the interval and up to one cell more.
type issuance struct {
	cells  []float64 // ring buffer: cell number n is at index n modulo the length
	newest int64     // number of the newest cell, counted from the start of the holder
	sum    float64
}

func newIssuance(interval time.Duration, cell int64) issuance {
	count := (interval+cellLength-1)/cellLength + 1
	return issuance{cells: make([]float64, count), newest: cell}
}

// advance makes a cell the newest and removes the cells that have left the interval.
func (s *issuance) advance(cell int64) {
	if cell <= s.newest {
		return
	}
	for range min(cell-s.newest, int64(len(s.cells))) {
		s.newest++
		s.cells[s.index(s.newest)] = 0
	}
	s.newest = cell
	s.sum = 0 // summed again from the cells, because repeated subtraction accumulates rounding errors
	for _, amount := range s.cells {
		s.sum += amount
	}
}

// index returns the position of a cell in the ring buffer.
func (s *issuance) index(cell int64) int64 {
	count := int64(len(s.cells))
	return (cell%count + count) % count
}

// add counts an amount in the newest cell.
func (s *issuance) add(amount float64) {
	s.cells[s.index(s.newest)] += amount
	s.sum += amount
}

// remove subtracts an amount that was counted in a cell and did not reach a recipient.
func (s *issuance) remove(cell int64, amount float64) {
	if cell > s.newest || s.newest-cell >= int64(len(s.cells)) {
		return
	}
	amount = min(amount, s.cells[s.index(cell)])
	s.cells[s.index(cell)] -= amount
	s.sum -= amount
}

// sumOfNewest returns what was issued in the given number of newest cells.
func (s *issuance) sumOfNewest(cells int64) float64 {
	sum := 0.0
	for n := range min(cells, int64(len(s.cells))) {
		sum += s.cells[s.index(s.newest-n)]
	}
	return sum
}

// timeUntilExpired returns how long it takes until the given amount of issued credit has left the interval if nothing else is
// issued. It returns the length of all cells if less than that was issued.
func (s *issuance) timeUntilExpired(amount float64) time.Duration {
	count := int64(len(s.cells))
	for n := range count {
		if amount <= 0 {
			return time.Duration(n) * cellLength
		}
		amount -= s.cells[s.index(s.newest-count+1+n)]
	}
	return time.Duration(count) * cellLength
}

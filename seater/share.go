package seater

// portion returns what seat number of count gets of a total. The portions of
// all seats add up to the total.
func portion(total, number, count int) int {
	if total <= 0 || count <= 0 {
		return 0
	}
	share := total / count
	if number < total%count {
		share++
	}
	return share
}

// portions returns what the seats get together.
func portions(total int, held []Seat, count int) int {
	sum := 0
	for _, seat := range held {
		sum += portion(total, seat.Number, count)
	}
	return sum
}

package seater

// seatShare returns the share of total that belongs to seat number of count seats. The
// shares of all seats add up to total.
func seatShare(total, number, count int) int {
	if total <= 0 || count <= 0 {
		return 0
	}
	share := total / count
	if number < total%count {
		share++
	}
	return share
}

// totalShare returns the sum of the shares of the held seats.
func totalShare(total int, held []Seat, count int) int {
	sum := 0
	for _, seat := range held {
		sum += seatShare(total, seat.Number, count)
	}
	return sum
}

package seater

import (
	"encoding/json"
	"fmt"
	"time"

	"zinniashore.example/keeper"
)

// RosterPrefix is the prefix of the keys of the rosters, one a failure domain.
const RosterPrefix = keeper.WatchedPrefix + "members/"

const rosterFormat = 1

// Guard tells what has to happen before the seats of a member may go to others
// without its own release.
type Guard string

// Guards of members.
const (
	// GuardPromise lets the seats go once its store session has lapsed, every
	// other member has withdrawn its promises, and those have run out.
	GuardPromise Guard = "promise"
	// GuardRelease keeps the seats until its own release, its replacement at
	// the same address, or the word of the operator.
	GuardRelease Guard = "release"
)

// Entrant is a member as the roster records it.
type Entrant struct {
	// VM is the entry VM.
	VM string
	// Incarnation names one run of its process.
	Incarnation string
	// Process is the name of its store session.
	Process string
	// FailureDomain is its failure domain. A member of another failure domain
	// than the roster's is a witness: it gives promises and holds no seat.
	FailureDomain string
	// Address is the IP address and port of its gRPC server.
	Address string
	// Session is the store lease under which it last wrote itself down.
	Session keeper.LeaseID
	// Guard protects its seats. Only the member itself changes it.
	Guard Guard
	// Draining is set once it is to be given no seats.
	Draining bool
}

// identity names one run of the process of a VM.
type identity struct {
	vm, incarnation string
}

func (e Entrant) identity() identity { return identity{vm: e.VM, incarnation: e.Incarnation} }

// Seat is one share of a failure domain.
type Seat struct {
	// Number counts from zero.
	Number int
	// Holder is the VM that holds it, empty if free.
	Holder string
	// Epoch grows with each grant.
	Epoch int64
	// Clean tells that nothing of an earlier holder was in flight when the seat
	// became free.
	Clean bool
	// Granted is the wall time of the grant by the holder's clock.
	Granted time.Time
}

// Roster is the record of the members and seats of a failure domain. It is
// immutable and changes at the store by compare-and-swap only.
type Roster struct {
	// FailureDomain is the failure domain.
	FailureDomain string
	// Version is the store revision, zero before the first write.
	Version int64
	// Generation grows with each change of the set of members.
	Generation int64
	// Members are in the order in which they joined.
	Members []Entrant
	// Seats are in the order of their numbers.
	Seats []Seat
}

// NewRoster returns the roster of a failure domain with free seats.
func NewRoster(domain string, seats int) Roster {
	r := Roster{FailureDomain: domain}
	for number := range seats {
		r.Seats = append(r.Seats, Seat{Number: number, Clean: true})
	}
	return r
}

// Member returns the entry of a VM.
func (r Roster) Member(vm string) (Entrant, bool) {
	for _, m := range r.Members {
		if m.VM == vm {
			return m, true
		}
	}
	return Entrant{}, false
}

// HeldBy returns the seats of a VM.
func (r Roster) HeldBy(vm string) []Seat {
	var held []Seat
	for _, seat := range r.Seats {
		if seat.Holder == vm {
			held = append(held, seat)
		}
	}
	return held
}

// WithMember returns r with the entrant added or replaced. The seats of another
// incarnation of its VM become free, with work possibly in flight.
func (r Roster) WithMember(entrant Entrant) Roster {
	old, found := r.Member(entrant.VM)
	if !found {
		r.Generation++
		r.Members = append(append([]Entrant{}, r.Members...), entrant)
		return r
	}
	if old.Incarnation != entrant.Incarnation {
		r.Generation++
		r = r.withSeats(func(seat Seat) Seat { return seat.freedFrom(entrant.VM, false) })
	}
	members := append([]Entrant{}, r.Members...)
	for i := range members {
		if members[i].VM == entrant.VM {
			members[i] = entrant
		}
	}
	r.Members = members
	return r
}

// WithoutMember returns r without the VM. Its seats become free; clean tells
// that nothing of it is in flight.
func (r Roster) WithoutMember(vm string, clean bool) Roster {
	var members []Entrant
	for _, m := range r.Members {
		if m.VM != vm {
			members = append(members, m)
		}
	}
	if len(members) < len(r.Members) {
		r.Generation++
	}
	r.Members = members
	return r.withSeats(func(seat Seat) Seat { return seat.freedFrom(vm, clean) })
}

// WithGrant returns r with the seat granted to the VM under the next epoch.
func (r Roster) WithGrant(number int, vm string, now time.Time) Roster {
	return r.withSeats(func(seat Seat) Seat {
		if seat.Number != number {
			return seat
		}
		return Seat{Number: number, Holder: vm, Epoch: seat.Epoch + 1, Clean: seat.Clean, Granted: now}
	})
}

// WithRelease returns r with the seat freed by its holder.
func (r Roster) WithRelease(number int, vm string) Roster {
	return r.withSeats(func(seat Seat) Seat {
		if seat.Number != number {
			return seat
		}
		return seat.freedFrom(vm, true)
	})
}

func (r Roster) withSeats(change func(Seat) Seat) Roster {
	seats := make([]Seat, 0, len(r.Seats))
	for _, seat := range r.Seats {
		seats = append(seats, change(seat))
	}
	r.Seats = seats
	return r
}

func (s Seat) freedFrom(vm string, clean bool) Seat {
	if s.Holder != vm {
		return s
	}
	s.Holder = ""
	s.Clean = clean
	return s
}

// homes returns how many members are of the failure domain itself.
func (r Roster) homes() int {
	count := 0
	for _, m := range r.Members {
		if m.FailureDomain == r.FailureDomain {
			count++
		}
	}
	return count
}

type entrantMessage struct {
	VM            string `json:"vm"`
	Incarnation   string `json:"incarnation"`
	Process       string `json:"process"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"`
	Session       int64  `json:"session"`
	Guard         string `json:"guard"`
	Draining      bool   `json:"draining,omitempty"`
}

type seatMessage struct {
	Number  int       `json:"number"`
	Holder  string    `json:"holder"`
	Epoch   int64     `json:"epoch"`
	Clean   bool      `json:"clean"`
	Granted time.Time `json:"granted"`
}

type rosterMessage struct {
	Format     int              `json:"format"`
	Generation int64            `json:"generation"`
	Members    []entrantMessage `json:"members"`
	Seats      []seatMessage    `json:"seats"`
}

// EncodeRoster returns the stored form of a roster.
func EncodeRoster(r Roster) ([]byte, error) {
	message := rosterMessage{Format: rosterFormat, Generation: r.Generation}
	for _, m := range r.Members {
		message.Members = append(message.Members, entrantMessage{
			VM: m.VM, Incarnation: m.Incarnation, Process: m.Process, FailureDomain: m.FailureDomain, Address: m.Address,
			Session: int64(m.Session), Guard: string(m.Guard), Draining: m.Draining,
		})
	}
	for _, s := range r.Seats {
		message.Seats = append(message.Seats, seatMessage(s))
	}
	return json.Marshal(message)
}

// DecodeRoster reads the stored form of a roster. An absent document is a
// roster with the given number of free seats.
func DecodeRoster(document keeper.Document, domain string, seats int) (Roster, error) {
	if document.Body == nil {
		return NewRoster(domain, seats), nil
	}
	var message rosterMessage
	if err := json.Unmarshal(document.Body, &message); err != nil {
		return Roster{}, &keeper.FormatError{Key: document.Key, Err: err}
	}
	if message.Format != rosterFormat {
		return Roster{}, &keeper.FormatError{Key: document.Key, Err: fmt.Errorf("format %d is not %d", message.Format, rosterFormat)}
	}
	r := Roster{FailureDomain: domain, Version: document.Version, Generation: message.Generation}
	for _, m := range message.Members {
		r.Members = append(r.Members, Entrant{
			VM: m.VM, Incarnation: m.Incarnation, Process: m.Process, FailureDomain: m.FailureDomain, Address: m.Address,
			Session: keeper.LeaseID(m.Session), Guard: Guard(m.Guard), Draining: m.Draining,
		})
	}
	for i, m := range message.Seats {
		if m.Number != i {
			return Roster{}, &keeper.FormatError{Key: document.Key, Err: fmt.Errorf("seat %d stands at place %d", m.Number, i)}
		}
		r.Seats = append(r.Seats, Seat(m))
	}
	return r, nil
}

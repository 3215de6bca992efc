package seater

import (
	"encoding/json"
	"fmt"
	"time"

	"zinniashore.example/keeper"
)

// RosterPrefix is the prefix of the keys of the rosters. The name of the roster's
// failure domain follows it.
const RosterPrefix = keeper.WatchedPrefix + "members/"

const rosterFormat = 1

// Guard is the condition under which the seats of a member may be reassigned without a
// release by the member itself.
type Guard string

// Guards of members.
const (
	// GuardPromise allows reassignment once the member's store session has ended, every
	// other member has withdrawn its promises to it, and those promises have expired.
	GuardPromise Guard = "promise"
	// GuardRelease allows reassignment only after a release by the member itself, its
	// replacement by a process at the same address, or a release by the operator.
	GuardRelease Guard = "release"
)

// MemberRecord describes a member as the roster stores it.
type MemberRecord struct {
	// VM names the entry VM.
	VM string
	// Incarnation names one run of its process.
	Incarnation string
	// Process is the name of its store session.
	Process string
	// FailureDomain is its failure domain. A member of another failure domain than the
	// roster's is a witness: it gives promises and holds no seat.
	FailureDomain string
	// Address is the IP address and port of its gRPC server.
	Address string
	// Session is the store lease under which the member last wrote its record.
	Session keeper.LeaseID
	// Guard protects the seats of the member. Only the member itself changes it.
	Guard Guard
	// Draining is set once the member is to get no more seats.
	Draining bool
}

// identity names one run of the process of a VM.
type identity struct {
	vm, incarnation string
}

func (e MemberRecord) identity() identity { return identity{vm: e.VM, incarnation: e.Incarnation} }

// Seat is a fixed share of a failure domain.
type Seat struct {
	// Number identifies the seat within its failure domain, counted from zero.
	Number int
	// Holder is the VM that holds the seat, empty if the seat is free.
	Holder string
	// Epoch increases with each grant.
	Epoch int64
	// Clean is set if no request of an earlier holder was in flight when the seat
	// became free.
	Clean bool
	// Granted is the wall-clock time of the grant by the holder's clock.
	Granted time.Time
}

// Roster records the members and seats of a failure domain. A value is immutable; the
// stored roster changes only by compare-and-swap.
type Roster struct {
	// FailureDomain is the failure domain.
	FailureDomain string
	// Version is the store revision of the last write, zero before the first one.
	Version int64
	// Generation increases with each change of the set of members.
	Generation int64
	// Members are in the order in which they joined.
	Members []MemberRecord
	// Seats are in the order of their numbers.
	Seats []Seat
}

// NewRoster returns the roster of a failure domain that has no members and only free
// seats.
func NewRoster(domain string, seats int) Roster {
	r := Roster{FailureDomain: domain}
	for number := range seats {
		r.Seats = append(r.Seats, Seat{Number: number, Clean: true})
	}
	return r
}

// Member returns the record of a VM and whether the roster has one.
func (r Roster) Member(vm string) (MemberRecord, bool) {
	for _, m := range r.Members {
		if m.VM == vm {
			return m, true
		}
	}
	return MemberRecord{}, false
}

// HeldBy returns the seats that a VM holds.
func (r Roster) HeldBy(vm string) []Seat {
	var held []Seat
	for _, seat := range r.Seats {
		if seat.Holder == vm {
			held = append(held, seat)
		}
	}
	return held
}

// WithMember returns r with the record added or replaced. If it replaces another
// incarnation of the VM, the seats of the VM become free and are not clean, since its
// requests may still be in flight.
func (r Roster) WithMember(record MemberRecord) Roster {
	old, found := r.Member(record.VM)
	if !found {
		r.Generation++
		r.Members = append(append([]MemberRecord{}, r.Members...), record)
		return r
	}
	if old.Incarnation != record.Incarnation {
		r.Generation++
		r = r.withSeats(func(seat Seat) Seat { return seat.releasedFrom(record.VM, false) })
	}
	members := append([]MemberRecord{}, r.Members...)
	for i := range members {
		if members[i].VM == record.VM {
			members[i] = record
		}
	}
	r.Members = members
	return r
}

// WithoutMember returns r without the VM. Its seats become free; they are clean if no
// request of the VM is in flight, which the caller states in clean.
func (r Roster) WithoutMember(vm string, clean bool) Roster {
	var members []MemberRecord
	for _, m := range r.Members {
		if m.VM != vm {
			members = append(members, m)
		}
	}
	if len(members) < len(r.Members) {
		r.Generation++
	}
	r.Members = members
	return r.withSeats(func(seat Seat) Seat { return seat.releasedFrom(vm, clean) })
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

// WithRelease returns r with the seat released by its holder.
func (r Roster) WithRelease(number int, vm string) Roster {
	return r.withSeats(func(seat Seat) Seat {
		if seat.Number != number {
			return seat
		}
		return seat.releasedFrom(vm, true)
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

func (s Seat) releasedFrom(vm string, clean bool) Seat {
	if s.Holder != vm {
		return s
	}
	s.Holder = ""
	s.Clean = clean
	return s
}

// localMembers returns the number of members that are in the roster's own failure
// domain, which excludes witnesses.
func (r Roster) localMembers() int {
	count := 0
	for _, m := range r.Members {
		if m.FailureDomain == r.FailureDomain {
			count++
		}
	}
	return count
}

type memberMessage struct {
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
	Format     int             `json:"format"`
	Generation int64           `json:"generation"`
	Members    []memberMessage `json:"members"`
	Seats      []seatMessage   `json:"seats"`
}

// EncodeRoster returns the stored form of a roster.
func EncodeRoster(r Roster) ([]byte, error) {
	message := rosterMessage{Format: rosterFormat, Generation: r.Generation}
	for _, m := range r.Members {
		message.Members = append(message.Members, memberMessage{
			VM: m.VM, Incarnation: m.Incarnation, Process: m.Process, FailureDomain: m.FailureDomain, Address: m.Address,
			Session: int64(m.Session), Guard: string(m.Guard), Draining: m.Draining,
		})
	}
	for _, s := range r.Seats {
		message.Seats = append(message.Seats, seatMessage(s))
	}
	return json.Marshal(message)
}

// DecodeRoster decodes the stored form of a roster. An absent document decodes as a
// roster with the given number of free seats. It returns a *keeper.FormatError for a
// document that it cannot read.
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
		r.Members = append(r.Members, MemberRecord{
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

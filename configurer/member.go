package configurer

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"zinniashore.example/keeper"
)

const (
	// configPrefix is the prefix of the keys that are not watched: the member records
	// and the accepted revision.
	configPrefix  = "config/"
	memberPrefix  = configPrefix + "members/"
	acceptanceKey = configPrefix + "accepted"
	memberFormat  = 1
)

// Member is the record of an entry VM that may run a configuration. It exists until the
// process leaves, its successor on the same VM replaces the record, or an operator
// releases the VM.
type Member struct {
	// VM is the entry VM.
	VM string
	// FailureDomain is the failure domain of the entry VM.
	FailureDomain string
	// Process is the id of the incarnation of the process.
	Process string
	// Revision is the oldest revision that the process may run.
	Revision int64
}

// ReplacedError reports that another process has replaced this one on its VM. This
// process must not serve any more.
type ReplacedError struct {
	// VM is the entry VM.
	VM string
	// Successor is the id of the process that replaced this one.
	Successor string
}

// Error implements error.
func (e *ReplacedError) Error() string {
	return fmt.Sprintf("configuration: process %s has replaced this process on VM %s", e.Successor, e.VM)
}

// UnknownVMError reports a VM that has no member record.
type UnknownVMError struct {
	// VM is the requested VM.
	VM string
}

// Error implements error.
func (e *UnknownVMError) Error() string { return fmt.Sprintf("configuration: no entry VM %q", e.VM) }

// AliveError reports a VM that cannot be released because its process still
// renews its lease.
type AliveError struct {
	// VM is the entry VM.
	VM string
	// Process is the id of the process that renews its lease.
	Process string
}

// Error implements error.
func (e *AliveError) Error() string {
	return fmt.Sprintf("configuration: process %s on VM %s is alive", e.Process, e.VM)
}

// errReleased reports that the member record of this process no longer exists or, in
// Leave, that another process owns it.
var errReleased = errors.New("the member record was removed by an operator")

// errStopped reports that this process has stopped and must not register.
var errStopped = errors.New("the process is leaving")

type memberMessage struct {
	Format   int    `json:"format"`
	Process  string `json:"process"`
	Revision int64  `json:"revision"`
}

type acceptanceMessage struct {
	Format   int   `json:"format"`
	Revision int64 `json:"revision"`
}

func memberKey(failureDomain, vm string) string { return memberPrefix + failureDomain + "/" + vm }

func (m Member) key() string { return memberKey(m.FailureDomain, m.VM) }

func (m Member) encode() ([]byte, error) {
	return json.Marshal(memberMessage{Format: memberFormat, Process: m.Process, Revision: m.Revision})
}

// decodeMember decodes a member record. It returns false if the record is absent.
func decodeMember(d keeper.Document) (Member, bool, error) {
	if d.Body == nil {
		return Member{}, false, nil
	}
	failureDomain, vm, _ := strings.Cut(strings.TrimPrefix(d.Key, memberPrefix), "/")
	var m memberMessage
	if err := json.Unmarshal(d.Body, &m); err != nil {
		return Member{}, false, &keeper.FormatError{Key: d.Key, Err: err}
	}
	if m.Format != memberFormat {
		return Member{}, false, &keeper.FormatError{Key: d.Key, Err: fmt.Errorf("format %d is not %d", m.Format, memberFormat)}
	}
	return Member{VM: vm, FailureDomain: failureDomain, Process: m.Process, Revision: m.Revision}, true, nil
}

// membership is a consistent snapshot of the member records and of the accepted
// revision.
type membership struct {
	members  []Member
	accepted int64
	// acceptance is the stored document that contains the accepted revision.
	acceptance keeper.Document
}

func decodeMembership(listing keeper.Listing) (membership, error) {
	m := membership{acceptance: keeper.Document{Key: acceptanceKey}}
	for _, entry := range listing.Entries {
		d, err := keeper.DecodeDocument(entry)
		if err != nil {
			return membership{}, err
		}
		if entry.Key == acceptanceKey {
			m.acceptance = d
			m.accepted, err = decodeAcceptance(d)
		} else {
			var member Member
			member, _, err = decodeMember(d)
			m.members = append(m.members, member)
		}
		if err != nil {
			return membership{}, err
		}
	}
	return m, nil
}

func decodeAcceptance(d keeper.Document) (int64, error) {
	var m acceptanceMessage
	if d.Body == nil {
		return 0, nil
	}
	if err := json.Unmarshal(d.Body, &m); err != nil {
		return 0, &keeper.FormatError{Key: d.Key, Err: err}
	}
	if m.Format != memberFormat {
		return 0, &keeper.FormatError{Key: d.Key, Err: fmt.Errorf("format %d is not %d", m.Format, memberFormat)}
	}
	return m.Revision, nil
}

// pending returns the failure domains, sorted, in which a process may still run an
// older revision or that have no member.
func (m membership) pending(revision int64, failureDomains []string) []string {
	if revision <= m.accepted {
		return nil
	}
	inForce := map[string]bool{}
	behind := map[string]bool{}
	for _, member := range m.members {
		if member.Revision < revision {
			behind[member.FailureDomain] = true
		} else {
			inForce[member.FailureDomain] = true
		}
	}
	for _, failureDomain := range failureDomains {
		if !inForce[failureDomain] {
			behind[failureDomain] = true
		}
	}
	var names []string
	for failureDomain := range behind {
		names = append(names, failureDomain)
	}
	slices.Sort(names)
	return names
}

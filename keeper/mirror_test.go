package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// scriptedStore answers the calls of a mirror with the given answers in turn.
type scriptedStore struct {
	Store
	answers []any
	done    context.CancelFunc
	calls   []string
}

func (s *scriptedStore) next(call string) any {
	s.calls = append(s.calls, call)
	if len(s.answers) == 0 {
		s.done()
		return errors.New("end of script")
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	return answer
}

func (s *scriptedStore) List(context.Context, string) (Listing, error) {
	switch answer := s.next("list").(type) {
	case Listing:
		return answer, nil
	case error:
		return Listing{}, answer
	default:
		return Listing{}, errors.New("unexpected list")
	}
}

func (s *scriptedStore) Watch(context.Context, string, int64, time.Duration) (Changes, error) {
	switch answer := s.next("watch").(type) {
	case Changes:
		return answer, nil
	case error:
		return Changes{}, answer
	default:
		return Changes{}, errors.New("unexpected watch")
	}
}

func entryAt(key string, version int64) Entry {
	return Entry{Key: key, Value: []byte(key), Version: version}
}

func TestMirrorNeverGoesBack(t *testing.T) {
	first := Listing{Entries: []Entry{entryAt("a", 3), entryAt("b", 5)}, Revision: 5}
	compacted := &CompactedError{After: 5, Oldest: 9}
	tests := map[string]struct {
		answers  []any
		want     map[string]int64
		revision int64
	}{
		"listing": {answers: []any{first}, want: map[string]int64{"a": 3, "b": 5}, revision: 5},
		"change and deletion": {
			answers: []any{first, Changes{Items: []Change{{Entry: entryAt("a", 6)}, {Entry: Entry{Key: "b", Version: 7}, Deleted: true}}, Revision: 7}},
			want:    map[string]int64{"a": 6}, revision: 7,
		},
		"deleted while away": {
			answers: []any{first, compacted, Listing{Entries: []Entry{entryAt("a", 3)}, Revision: 12}},
			want:    map[string]int64{"a": 3}, revision: 12,
		},
		"older listing after a compaction": {
			answers: []any{first, compacted, Listing{Entries: []Entry{entryAt("a", 2)}, Revision: 4}},
			want:    map[string]int64{"a": 3, "b": 5}, revision: 5,
		},
		"watch of an older revision": {
			answers: []any{first, Changes{Revision: 4}}, want: map[string]int64{"a": 3, "b": 5}, revision: 5,
		},
		"change seen before": {
			answers: []any{first, Changes{Items: []Change{{Entry: entryAt("b", 4)}}, Revision: 6}},
			want:    map[string]int64{"a": 3, "b": 5}, revision: 6,
		},
		"deletion seen before": {
			answers: []any{first, Changes{Items: []Change{{Entry: Entry{Key: "b", Version: 4}, Deleted: true}}, Revision: 6}},
			want:    map[string]int64{"a": 3, "b": 5}, revision: 6,
		},
		"outage between": {
			answers: []any{first, &UnavailableError{}, &UnclearError{}, Changes{Items: []Change{{Entry: entryAt("c", 8)}}, Revision: 8}},
			want:    map[string]int64{"a": 3, "b": 5, "c": 8}, revision: 8,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			m := &Mirror{Store: &scriptedStore{answers: tc.answers, done: cancel}, Clock: instantClock{}, Prefix: ""}
			var notified int64
			m.Subscribe("", func([]Entry) {
				_, revision := m.LastContact()
				if revision < notified {
					t.Errorf("notified of revision %d after %d", revision, notified)
				}
				notified = revision
			})
			if err := m.Run(ctx); err != nil {
				t.Fatal(err)
			}
			got := map[string]int64{}
			for _, entry := range m.Entries("") {
				got[entry.Key] = entry.Version
			}
			if _, revision := m.LastContact(); revision != tc.revision || !equal(got, tc.want) {
				t.Errorf("%v at %d, want %v at %d", got, revision, tc.want, tc.revision)
			}
		})
	}
}

// instantClock is a clock on which every wait ends at once.
type instantClock struct{ clockwork.Clock }

func (instantClock) Now() time.Time { return time.Unix(1_800_000_000, 0) }

func (instantClock) After(time.Duration) <-chan time.Time {
	passed := make(chan time.Time, 1)
	passed <- time.Unix(1_800_000_000, 0)
	return passed
}

func equal(a, b map[string]int64) bool {
	if len(a) != len(b) {
		return false
	}
	for key, value := range a {
		if b[key] != value {
			return false
		}
	}
	return true
}

// FuzzDecodeDocument checks that a value is either refused with an error that names
// its key, or decoded such that encoding it again changes nothing.
func FuzzDecodeDocument(f *testing.F) {
	seeds := []string{
		``, `null`, `{}`, `[]`, `{"format":1}`, `{"format":2,"body":1}`, `{"format":1,"body":null}`,
		`{"format":1,"deleted":true,"writers":null}`, `{"format":1,"deleted":true,"body":{}}`,
		`{"format":1,"writers":[{"writer":"a","sequence":1,"base":2}],"body":{"x":[1,2]}}`,
		`{"format":1,"writers":[{"writer":1}],"body":{}}`, "\xff\x00", `{"format":1,"body":"` + "\xff" + `"}`,
	}
	for _, seed := range seeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		document, err := DecodeDocument(Entry{Key: "key", Value: value, Version: 7})
		var format *FormatError
		if err != nil {
			if !errors.As(err, &format) || format.Key != "key" {
				t.Fatalf("refused with %v", err)
			}
			checkNotOverwritten(t, value)
			return
		}
		encoded, err := document.encode()
		if err != nil {
			t.Fatalf("read but not written: %v", err)
		}
		again, err := DecodeDocument(Entry{Key: "key", Value: encoded, Version: 7})
		if err != nil || !sameJSON(again.Body, document.Body) || len(again.marks) != len(document.marks) {
			t.Fatalf("%+v became %+v, %v", document, again, err)
		}
	})
}

// checkNotOverwritten fails if an update replaces a value that can't be decoded.
func checkNotOverwritten(t *testing.T, value []byte) {
	store := newMemoryStore()
	store.entries["key"] = Entry{Key: "key", Value: value, Version: 7}
	k := &Keeper{Store: store, Clock: clockwork.NewRealClock(), Writer: "w"}
	_, err := k.Update(t.Context(), "key", addOne)
	var format *FormatError
	if !errors.As(err, &format) || store.entries["key"].Version != 7 {
		t.Fatalf("unreadable value overwritten: %v", err)
	}
}

func sameJSON(a, b json.RawMessage) bool {
	var first, second any
	if a == nil || b == nil {
		return a == nil && b == nil
	}
	errA, errB := json.Unmarshal(a, &first), json.Unmarshal(b, &second)
	x, _ := json.Marshal(first)
	y, _ := json.Marshal(second)
	return errA == nil && errB == nil && string(x) == string(y)
}

package owner

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"zinniashore.example/keeper"
)

const (
	// defaultSegmentBytes is the default size from which a new segment is begun.
	defaultSegmentBytes = 16 << 10
	// maxCommitBytes bounds the size of the entries of one commit; entries beyond it
	// go into the next commit.
	maxCommitBytes = 48 << 10
	// spareSegments is the number of segments that may exist before any is compacted,
	// on top of the number that the current entries need.
	spareSegments = 3
)

// FencedError reports that a cell has an owner of a newer epoch.
type FencedError struct {
	// Cell is the id of the cell.
	Cell string
	// Epoch is the newer epoch.
	Epoch int64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("owner: cell %s is owned under newer epoch %d", e.Cell, e.Epoch)
}

// journal keeps the records of one cell in segments in the store. Each commit writes
// one segment, the newest. The oldest segment is compacted by copying its current
// entries to the newest. A journal is used by one goroutine at a time.
type journal struct {
	keeper *keeper.Keeper
	cell   string
	epoch  int64
	// sealed is the last epoch whose owner sealed all segments before it acted. A
	// segment of an earlier epoch was written after that and is ignored.
	sealed int64
	// segmentBytes is the size in bytes from which a new segment is begun.
	segmentBytes int

	// sequence is the highest sequence number of any entry.
	sequence int64
	// attemptFloor is the highest attempt number of any removed task. New attempts get
	// higher numbers.
	attemptFloor int64
	// current holds the current entry of each key and the segment that stores it.
	current  map[string]storedEntry
	segments map[int]*storedSegment
	// deleting is the compacted segment that is to be deleted, zero if none.
	deleting int
}

type storedEntry struct {
	entry   entry
	segment int
	bytes   int
}

// storedSegment holds the encoded entries of a segment, by key, and their size.
type storedSegment struct {
	encoded map[string][]byte
	bytes   int
}

func newJournal(k *keeper.Keeper, cell string, epoch, sealed int64) *journal {
	return &journal{
		keeper: k, cell: cell, epoch: epoch, sealed: sealed, segmentBytes: defaultSegmentBytes,
		current: map[string]storedEntry{}, segments: map[int]*storedSegment{},
	}
}

func (j *journal) prefix() string { return "cells/" + j.cell + "/tasks/" }

func (j *journal) key(number int) string { return j.prefix() + strconv.Itoa(number) }

// load reads the segments and seals each under the journal's epoch, so that an earlier
// owner cannot change any of them. A segment that an earlier owner adds later is
// recognised by its epoch once the store records that this epoch has sealed all
// segments.
func (j *journal) load(ctx context.Context) error {
	listing, err := j.keeper.Store.List(ctx, j.prefix())
	if err != nil {
		return err
	}
	for _, stored := range listing.Entries {
		number, err := strconv.Atoi(strings.TrimPrefix(stored.Key, j.prefix()))
		if err != nil {
			return &keeper.FormatError{Key: stored.Key, Err: err}
		}
		if err := j.seal(ctx, number); err != nil {
			return err
		}
	}
	return nil
}

func (j *journal) seal(ctx context.Context, number int) error {
	var sealed segment
	late := false
	_, err := j.keeper.Update(ctx, j.key(number), func(current keeper.Document) ([]byte, error) {
		var err error
		sealed, err = decodeSegment(current)
		if err != nil {
			return nil, err
		}
		if sealed.epoch > j.epoch {
			return nil, &FencedError{Cell: j.cell, Epoch: sealed.epoch}
		}
		late = sealed.epoch < j.sealed
		if late {
			return nil, nil
		}
		return reencode(j.epoch, sealed)
	})
	if err != nil || late {
		return err
	}
	sealed.number = number
	return j.addSegment(sealed)
}

func reencode(epoch int64, s segment) ([]byte, error) {
	var encoded [][]byte
	for _, e := range s.entries {
		content, err := e.encode()
		if err != nil {
			return nil, err
		}
		encoded = append(encoded, content)
	}
	return encodeSegment(epoch, s.attemptFloor, encoded)
}

// addSegment adds the entries of a segment that was read.
func (j *journal) addSegment(s segment) error {
	j.attemptFloor = max(j.attemptFloor, s.attemptFloor)
	stored := j.segment(s.number)
	for _, e := range s.entries {
		content, err := e.encode()
		if err != nil {
			return err
		}
		stored.put(e.key, content)
		j.sequence = max(j.sequence, e.sequence)
		known, found := j.current[e.key]
		if !found || e.supersedes(known.entry) {
			j.current[e.key] = storedEntry{entry: e, segment: s.number, bytes: len(content)}
		}
	}
	return nil
}

func (j *journal) segment(number int) *storedSegment {
	s := j.segments[number]
	if s == nil {
		s = &storedSegment{encoded: map[string][]byte{}}
		j.segments[number] = s
	}
	return s
}

func (s *storedSegment) put(key string, content []byte) {
	s.bytes += len(content) - len(s.encoded[key])
	s.encoded[key] = content
}

// preparedWrite is one prepared write of the journal.
type preparedWrite struct {
	number  int
	epoch   int64
	body    []byte
	entries []entry
	// compacted is the segment that can be deleted after the write, zero if none.
	compacted int
	encoded   map[string][]byte
}

// prepare returns a write of the entries that fit into one commit, and the remaining
// entries. The journal's entries change only when the write is passed to apply.
func (j *journal) prepare(entries []entry) (preparedWrite, []entry, error) {
	w := preparedWrite{epoch: j.epoch, encoded: map[string][]byte{}}
	size := 0
	for len(entries) > 0 && size < maxCommitBytes {
		e := entries[0]
		entries = entries[1:]
		j.sequence++
		e.epoch, e.sequence = j.epoch, j.sequence
		content, err := e.encode()
		if err != nil {
			return preparedWrite{}, nil, err
		}
		w.entries = append(w.entries, e)
		w.encoded[e.key] = content
		size += len(content)
	}
	size += j.compact(&w)
	w.number = j.targetSegment(size)
	body, err := j.encode(w)
	w.body = body
	return w, entries, err
}

// compact adds the current entries of the oldest segment to the write if there are
// more than maxSegments segments, and returns the number of bytes added.
func (j *journal) compact(w *preparedWrite) int {
	numbers := j.numbers()
	if j.deleting != 0 || len(numbers) <= j.maxSegments() {
		return 0
	}
	oldest := numbers[0]
	w.compacted = oldest
	size := 0
	for key, content := range j.segments[oldest].encoded {
		stored := j.current[key]
		_, replaced := w.encoded[key]
		if replaced || stored.segment != oldest || stored.entry.isRemoval() {
			continue
		}
		w.encoded[key] = content
		w.entries = append(w.entries, stored.entry)
		size += len(content)
	}
	return size
}

// maxSegments returns the number of segments that may exist before the oldest is
// compacted. It grows with the size of the current entries.
func (j *journal) maxSegments() int {
	live := 0
	for _, stored := range j.current {
		if !stored.entry.isRemoval() {
			live += stored.bytes
		}
	}
	return spareSegments + 2*live/j.segmentBytes
}

// targetSegment returns the number of the segment to write: the newest while size more
// bytes fit into it, else the next.
func (j *journal) targetSegment(size int) int {
	numbers := j.numbers()
	if len(numbers) == 0 {
		return 1
	}
	newest := numbers[len(numbers)-1]
	if j.segments[newest].bytes+size > j.segmentBytes {
		return newest + 1
	}
	return newest
}

func (j *journal) encode(w preparedWrite) ([]byte, error) {
	merged := map[string][]byte{}
	if s := j.segments[w.number]; s != nil {
		for key, content := range s.encoded {
			merged[key] = content
		}
	}
	for key, content := range w.encoded {
		merged[key] = content
	}
	keys := make([]string, 0, len(merged))
	for key := range merged {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	encoded := make([][]byte, 0, len(keys))
	for _, key := range keys {
		encoded = append(encoded, merged[key])
	}
	return encodeSegment(w.epoch, j.attemptFloor, encoded)
}

// write stores the prepared segment. It returns a *FencedError if a newer owner has
// sealed the segment. It may run concurrently with other uses of the journal.
func (j *journal) write(ctx context.Context, w preparedWrite) error {
	_, err := j.keeper.Update(ctx, j.key(w.number), func(current keeper.Document) ([]byte, error) {
		stored, err := decodeSegment(current)
		if err != nil {
			return nil, err
		}
		if stored.epoch > w.epoch {
			return nil, &FencedError{Cell: j.cell, Epoch: stored.epoch}
		}
		return w.body, nil
	})
	return err
}

// apply updates the journal to a write that is durable.
func (j *journal) apply(w preparedWrite) {
	s := j.segment(w.number)
	for _, e := range w.entries {
		content := w.encoded[e.key]
		s.put(e.key, content)
		j.current[e.key] = storedEntry{entry: e, segment: w.number, bytes: len(content)}
	}
	j.deleting = w.compacted
}

// discard deletes a compacted segment from the store. It returns a *FencedError if a
// newer owner has sealed the segment.
func (j *journal) discard(ctx context.Context, number int) error {
	_, err := j.keeper.Update(ctx, j.key(number), func(current keeper.Document) ([]byte, error) {
		stored, err := decodeSegment(current)
		if err != nil {
			return nil, err
		}
		if stored.epoch > j.epoch {
			return nil, &FencedError{Cell: j.cell, Epoch: stored.epoch}
		}
		return nil, nil
	})
	return err
}

// applyDiscard removes a segment that was deleted from the store.
func (j *journal) applyDiscard(number int) {
	for key := range j.segments[number].encoded {
		if stored := j.current[key]; stored.segment == number {
			delete(j.current, key)
		}
	}
	delete(j.segments, number)
	j.deleting = 0
}

// durableRecord returns the durable record of a task. It reports false if the task has
// none.
func (j *journal) durableRecord(task string) (record, bool) {
	stored, found := j.current[task]
	if !found || stored.entry.task == nil {
		return record{}, false
	}
	return *stored.entry.task, true
}

func (j *journal) numbers() []int {
	numbers := make([]int, 0, len(j.segments))
	for number := range j.segments {
		numbers = append(numbers, number)
	}
	sort.Ints(numbers)
	return numbers
}

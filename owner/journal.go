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
	// segmentBytes is the default limit of a segment.
	segmentBytes = 16 << 10
	// commitBytes bounds the entries of one commit; the rest goes into the next.
	commitBytes = 48 << 10
	// spareSegments is how many segments there may be before any is compacted.
	spareSegments = 3
)

// FencedError reports that a cell has a newer owner.
type FencedError struct {
	// Cell is the cell.
	Cell string
	// Epoch is the newer epoch.
	Epoch int64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("owner: cell %s has epoch %d", e.Cell, e.Epoch)
}

// journal keeps the records of one cell in segments of the store. Each commit
// writes one segment, the newest; the oldest is emptied by copying what holds
// of it into the newest. It is used from one goroutine at a time.
type journal struct {
	keeper *keeper.Keeper
	cell   string
	epoch  int64
	// sealed is the last epoch whose owner sealed all segments before it acted.
	// A segment of an earlier one was written after that, and does not count.
	sealed int64
	// limit is the size in bytes from which a new segment is begun.
	limit int

	sequence int64
	floor    int64
	// current holds the entry of each key and where it is stored.
	current  map[string]storedEntry
	segments map[int]*storedSegment
	// deleting is a segment whose entries were copied, zero if none.
	deleting int
}

type storedEntry struct {
	entry   entry
	segment int
	bytes   int
}

// storedSegment is what a segment contains, by key.
type storedSegment struct {
	encoded map[string][]byte
	bytes   int
}

func newJournal(k *keeper.Keeper, cell string, epoch, sealed int64) *journal {
	return &journal{
		keeper: k, cell: cell, epoch: epoch, sealed: sealed, limit: segmentBytes,
		current: map[string]storedEntry{}, segments: map[int]*storedSegment{},
	}
}

func (j *journal) prefix() string { return "cells/" + j.cell + "/tasks/" }

func (j *journal) key(number int) string { return j.prefix() + strconv.Itoa(number) }

// load reads the segments and seals each for the epoch, so that an earlier
// owner can change none of them. What an earlier owner adds later is told by
// its epoch, once the store holds that this epoch has sealed all.
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
	return j.adopt(sealed)
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
	return encodeSegment(epoch, s.floor, encoded)
}

// adopt adds a segment that was read.
func (j *journal) adopt(s segment) error {
	j.floor = max(j.floor, s.floor)
	stored := j.segment(s.number)
	for _, e := range s.entries {
		content, err := e.encode()
		if err != nil {
			return err
		}
		stored.put(e.key, content)
		j.sequence = max(j.sequence, e.sequence)
		known, found := j.current[e.key]
		if !found || e.after(known.entry) {
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

// commitment is one prepared write of the journal.
type commitment struct {
	number  int
	epoch   int64
	body    []byte
	entries []entry
	// compacted is the segment that the write makes superfluous, zero if none.
	compacted int
	encoded   map[string][]byte
}

// prepare makes one write of the entries, as far as they fit, and returns the
// ones left over. The write has no effect on the journal before applied.
func (j *journal) prepare(entries []entry) (commitment, []entry, error) {
	c := commitment{epoch: j.epoch, encoded: map[string][]byte{}}
	size := 0
	for len(entries) > 0 && size < commitBytes {
		e := entries[0]
		entries = entries[1:]
		j.sequence++
		e.epoch, e.sequence = j.epoch, j.sequence
		content, err := e.encode()
		if err != nil {
			return commitment{}, nil, err
		}
		c.entries = append(c.entries, e)
		c.encoded[e.key] = content
		size += len(content)
	}
	size += j.compact(&c)
	c.number = j.target(size)
	body, err := j.encode(c)
	c.body = body
	return c, entries, err
}

// compact adds what holds of the oldest segment to the write, if there is too
// much in the segments that does not, and returns the bytes that it added.
func (j *journal) compact(c *commitment) int {
	numbers := j.numbers()
	if j.deleting != 0 || len(numbers) <= j.allowed() {
		return 0
	}
	oldest := numbers[0]
	c.compacted = oldest
	size := 0
	for key, content := range j.segments[oldest].encoded {
		stored := j.current[key]
		_, replaced := c.encoded[key]
		if replaced || stored.segment != oldest || stored.entry.removed() {
			continue
		}
		c.encoded[key] = content
		c.entries = append(c.entries, stored.entry)
		size += len(content)
	}
	return size
}

// allowed is the number of segments that may exist without compaction.
func (j *journal) allowed() int {
	live := 0
	for _, stored := range j.current {
		if !stored.entry.removed() {
			live += stored.bytes
		}
	}
	return spareSegments + 2*live/j.limit
}

// target returns the segment to write: the newest while it has room.
func (j *journal) target(size int) int {
	numbers := j.numbers()
	if len(numbers) == 0 {
		return 1
	}
	newest := numbers[len(numbers)-1]
	if j.segments[newest].bytes+size > j.limit {
		return newest + 1
	}
	return newest
}

func (j *journal) encode(c commitment) ([]byte, error) {
	merged := map[string][]byte{}
	if s := j.segments[c.number]; s != nil {
		for key, content := range s.encoded {
			merged[key] = content
		}
	}
	for key, content := range c.encoded {
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
	return encodeSegment(c.epoch, j.floor, encoded)
}

// write makes the commitment durable. It returns a *FencedError where a newer
// owner has sealed the segment. It may run beside other uses of the journal.
func (j *journal) write(ctx context.Context, c commitment) error {
	_, err := j.keeper.Update(ctx, j.key(c.number), func(current keeper.Document) ([]byte, error) {
		stored, err := decodeSegment(current)
		if err != nil {
			return nil, err
		}
		if stored.epoch > c.epoch {
			return nil, &FencedError{Cell: j.cell, Epoch: stored.epoch}
		}
		return c.body, nil
	})
	return err
}

// applied takes over a commitment that is durable.
func (j *journal) applied(c commitment) {
	s := j.segment(c.number)
	for _, e := range c.entries {
		content := c.encoded[e.key]
		s.put(e.key, content)
		j.current[e.key] = storedEntry{entry: e, segment: c.number, bytes: len(content)}
	}
	j.deleting = c.compacted
}

// discard deletes the segment that a commitment has made superfluous.
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

// discarded takes over that the segment is deleted.
func (j *journal) discarded(number int) {
	for key := range j.segments[number].encoded {
		if stored := j.current[key]; stored.segment == number {
			delete(j.current, key)
		}
	}
	delete(j.segments, number)
	j.deleting = 0
}

// durable returns the durable record of a task.
func (j *journal) durable(task string) (record, bool) {
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

package dispatcher

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxListedRanges is the number of ranges of tasks that a list names at most.
const maxListedRanges = 8

// taskRange is consecutive tasks of a step: first and those after it up to an index.
type taskRange struct {
	first TaskID
	last  int
}

// String returns the range in the form in which logs show it.
func (r taskRange) String() string {
	if r.last == r.first.Index {
		return r.first.String()
	}
	return r.first.String() + "-" + strconv.Itoa(r.last)
}

// listTasks lists tasks for logs, consecutive ones of a step as a range.
func listTasks(tasks []*task) string {
	ids := make([]TaskID, len(tasks))
	for i, t := range tasks {
		ids[i] = t.id
	}
	return listTaskIDs(ids)
}

// listTaskIDs is listTasks of the tasks with these ids, which it sorts.
func listTaskIDs(ids []TaskID) string {
	slices.SortFunc(ids, compareTaskIDs)
	var ranges []string
	listed := 0
	for start := 0; start < len(ids) && len(ranges) < maxListedRanges; start = listed {
		listed = start + 1
		for listed < len(ids) && follows(ids[listed-1], ids[listed]) {
			listed++
		}
		ranges = append(ranges, taskRange{first: ids[start], last: ids[listed-1].Index}.String())
	}
	list := strings.Join(ranges, ", ")
	if more := len(ids) - listed; more > 0 {
		list += fmt.Sprintf(" and %d more", more)
	}
	return list
}

// follows reports whether next is the next task of the step of id.
func follows(id, next TaskID) bool {
	id.Index++
	return id == next
}

// compareTaskIDs orders tasks by job, occurrence, step and index.
func compareTaskIDs(a, b TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// lastRunAccount describes, for logs, the last run of a task that has none.
func (t *task) lastRunAccount(now time.Time) string {
	switch last := t.lastRun; {
	case last.reason != "":
		return fmt.Sprintf("run %d on %s removed %s ago: %s", last.number, last.worker, age(now, last.at), last.reason)
	case !t.job().loadedAt.IsZero():
		return "no run under this holder, which has loaded the job " + age(now, t.job().loadedAt) + " ago"
	}
	return "no run under this holder"
}

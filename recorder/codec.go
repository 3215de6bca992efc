package recorder

import (
	"encoding/json"
	"fmt"
)

const timeLineFormat = 1

type eventJSON struct {
	Wall          int64  `json:"wall"`
	Counter       uint32 `json:"counter"`
	Process       string `json:"process"`
	FailureDomain string `json:"failure_domain,omitempty"`
	Kind          string `json:"kind"`
	Organisation  string `json:"organisation,omitempty"`
	Revision      int64  `json:"revision,omitempty"`
	Cell          string `json:"cell,omitempty"`
	Epoch         int64  `json:"epoch,omitempty"`
	VM            string `json:"vm,omitempty"`
	Task          string `json:"task,omitempty"`
	Attempt       int    `json:"attempt,omitempty"`
	Key           string `json:"key,omitempty"`
	Detail        string `json:"detail,omitempty"`
}

type timeLineJSON struct {
	Format    int         `json:"format"`
	Unreached []string    `json:"unreached"`
	Events    []eventJSON `json:"events"`
}

// EncodeTimeLine returns the JSON form of a time line, which history checks and trace
// replay read.
func EncodeTimeLine(line TimeLine) ([]byte, error) {
	message := timeLineJSON{Format: timeLineFormat, Unreached: append([]string{}, line.Unreached...), Events: []eventJSON{}}
	for _, e := range line.Events {
		message.Events = append(message.Events, eventJSON{
			Wall: e.Time.Wall, Counter: e.Time.Counter,
			Process: e.Process, FailureDomain: e.FailureDomain, Kind: string(e.Kind),
			Organisation: e.Organisation, Revision: e.Revision,
			Cell: e.Cell, Epoch: e.Epoch, VM: e.VM,
			Task: e.Task, Attempt: e.Attempt, Key: e.Key, Detail: e.Detail,
		})
	}
	return json.Marshal(message)
}

// DecodeTimeLine parses the JSON form of a time line.
func DecodeTimeLine(content []byte) (TimeLine, error) {
	var message timeLineJSON
	if err := json.Unmarshal(content, &message); err != nil {
		return TimeLine{}, fmt.Errorf("time line: %w", err)
	}
	if message.Format != timeLineFormat {
		return TimeLine{}, fmt.Errorf("time line: unknown format %d, want %d", message.Format, timeLineFormat)
	}
	line := TimeLine{Unreached: message.Unreached}
	for _, m := range message.Events {
		line.Events = append(line.Events, Event{
			Time:    Timestamp{Wall: m.Wall, Counter: m.Counter},
			Process: m.Process, FailureDomain: m.FailureDomain, Kind: Kind(m.Kind),
			Organisation: m.Organisation, Revision: m.Revision,
			Cell: m.Cell, Epoch: m.Epoch, VM: m.VM,
			Task: m.Task, Attempt: m.Attempt, Key: m.Key, Detail: m.Detail,
		})
	}
	return line, nil
}

package dispatcher

import "encoding/json"

// returnedTasksMessage is the record by which a cell gives back some tasks of a part. An earlier build, which would take back
// all of them, can't decode it: the field part of progressMessage isn't a list.
type returnedTasksMessage struct {
	Part    []partMessage    `json:"part"`
	Crashes []crashesMessage `json:"crashes,omitempty"`
}

// EncodeReturn returns the record, in JSON, by which a part or some of its tasks are given back.
func EncodeReturn(r *PartReturn) ([]byte, error) {
	if len(r.Rest) == 0 {
		return EncodeProgress(r.Progress)
	}
	m := returnedTasksMessage{Crashes: encodeCrashes(r.Progress.Crashes)}
	for _, id := range r.Part {
		m.Part = append(m.Part, partMessage{Step: id.Step, Task: id.Index})
	}
	return json.Marshal(m)
}

// DecodeReturn decodes the record by which a cell has given back a part of a job, or some of its tasks. It leaves the
// revision out.
func DecodeReturn(job, cell string, content []byte) (ReturnedPart, error) {
	var m returnedTasksMessage
	if err := json.Unmarshal(content, &m); err != nil {
		progress, err := DecodeProgress(job, content)
		return ReturnedPart{Cell: cell, Crashes: progress.Crashes}, err
	}
	returned := ReturnedPart{Cell: cell, Crashes: decodeCrashes(job, m.Crashes)}
	for _, t := range m.Part {
		returned.Tasks = append(returned.Tasks, TaskID{Job: job, Step: t.Step, Index: t.Task})
	}
	return returned, nil
}

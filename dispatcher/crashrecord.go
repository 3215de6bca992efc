package dispatcher

import "time"

// TaskCrashes lists the crashes of workers under a task.
type TaskCrashes struct {
	Task    TaskID
	Crashes []Crash
}

type crashesMessage struct {
	Occurrence int            `json:"occurrence"`
	Step       int            `json:"step"`
	Task       int            `json:"task"`
	Crashes    []crashMessage `json:"crashes"`
}

type crashMessage struct {
	Run        int64     `json:"run"`
	Worker     string    `json:"worker"`
	Boot       int64     `json:"boot,omitempty"`
	Sign       CrashSign `json:"sign,omitempty"`
	Attributed bool      `json:"attributed,omitempty"`
	Confirmed  bool      `json:"confirmed,omitempty"`
	Elsewhere  bool      `json:"elsewhere,omitempty"`
	AtMS       int64     `json:"at_milliseconds,omitempty"`
	Prompt     bool      `json:"prompt,omitempty"`
}

func newCrashMessage(c Crash) crashMessage {
	m := crashMessage{Run: c.Run, Worker: c.Worker, Boot: c.Boot, Sign: c.Sign, Attributed: c.Attributed, Confirmed: c.Confirmed, Elsewhere: c.Elsewhere, Prompt: c.Prompt}
	if !c.At.IsZero() {
		m.AtMS = c.At.UnixMilli()
	}
	return m
}

func (m crashMessage) crash() Crash {
	c := Crash{Run: m.Run, Worker: m.Worker, Boot: m.Boot, Sign: m.Sign, Attributed: m.Attributed, Confirmed: m.Confirmed, Elsewhere: m.Elsewhere, Prompt: m.Prompt}
	if m.AtMS != 0 {
		c.At = time.UnixMilli(m.AtMS)
	}
	return c
}

func encodeCrashes(crashes []TaskCrashes) []crashesMessage {
	var messages []crashesMessage
	for _, t := range crashes {
		m := crashesMessage{Occurrence: t.Task.Occurrence, Step: t.Task.Step, Task: t.Task.Index}
		for _, crash := range t.Crashes {
			m.Crashes = append(m.Crashes, newCrashMessage(crash))
		}
		messages = append(messages, m)
	}
	return messages
}

func decodeCrashes(job string, messages []crashesMessage) []TaskCrashes {
	var crashes []TaskCrashes
	for _, m := range messages {
		t := TaskCrashes{Task: TaskID{Job: job, Occurrence: m.Occurrence, Step: m.Step, Index: m.Task}}
		for _, crash := range m.Crashes {
			t.Crashes = append(t.Crashes, crash.crash())
		}
		crashes = append(crashes, t)
	}
	return crashes
}

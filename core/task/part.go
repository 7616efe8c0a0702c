package task

import (
	"encoding/json"
	"slices"
	"unicode/utf8"
)

// The progress of a job is one record, or, if the job is large, one of its own and one for each part of
// its tasks. Each record has a bound that follows from the limits below, so that the store takes it, and
// the slowest link carries it within the time of a call.
const (
	// MaxSingle is the number of tasks, over all occurrences, up to which the progress of a job is one record.
	MaxSingle = 256
	// PartTasks is the number of tasks of a part.
	PartTasks = 64
	// MaxRecord is the size of the largest job or record of progress, in bytes.
	MaxRecord = 256 << 10
	// MaxName is the length of the longest name of an endpoint or a host, in bytes as it is encoded.
	MaxName = 128
	// MaxReason is the length of the longest reason for a job's end that is stored, in bytes as it is encoded.
	MaxReason = 1024
	// MaxCheckpoint is the length of the longest checkpoint that is kept, in bytes.
	MaxCheckpoint = 4000

	maxHead    = 4 << 10                // bytes of a record that are not its tasks', at most
	maxEntry   = 3*MaxName + maxNumbers // bytes of a task in a record, at most, but for its checkpoint
	maxNumbers = 420                    // bytes of an entry that are not names or the checkpoint, at most
)

// Tasks returns the number of tasks over all occurrences.
func (j *Job) Tasks() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n * j.Occurrences()
}

// Large reports whether the progress of a job is stored in parts.
func (j *Job) Large() bool { return j.Tasks() > MaxSingle }

// Parts returns the number of parts of a job's tasks.
func (j *Job) Parts() int { return (j.Tasks() + PartTasks - 1) / PartTasks }

// Part is the stored progress of some tasks of a large job.
type Part struct {
	Tasks []TaskProgress `json:"marks"`
}

// DecodePart decodes and checks a stored part.
func DecodePart(raw []byte) ([]TaskProgress, error) {
	var p Part
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, err
	}
	return p.Tasks, checkTasks(p.Tasks)
}

// Join returns the progress of a job with the tasks of its parts, which are given by their numbers. Parts
// whose tasks have not been started are not stored.
func (p *Progress) Join(parts map[int][]TaskProgress) *Progress {
	if p.Parts == 0 {
		return p
	}
	whole := *p
	whole.Tasks = nil
	for n := 1; n <= p.Parts; n++ {
		whole.Tasks = append(whole.Tasks, parts[n]...)
	}
	return &whole
}

// Changed reports whether the tasks of a record differ from what is stored in more than their checkpoints, which
// running tasks replace all the time.
func Changed(stored, now []TaskProgress) bool {
	return !slices.EqualFunc(stored, now, func(a, b TaskProgress) bool {
		a.Checkpoint, b.Checkpoint = "", ""
		return a == b
	})
}

// LimitCheckpoints drops checkpoints for which a record of the tasks has no space, and returns how many.
func LimitCheckpoints(tasks []TaskProgress) (dropped int) {
	space := MaxRecord - maxHead - len(tasks)*maxEntry
	for i := range tasks {
		t := &tasks[i]
		if t.Checkpoint == "" {
			continue
		}
		if n := encodedLen(t.Checkpoint); n <= space {
			space -= n
			continue
		}
		t.Checkpoint = ""
		dropped++
	}
	return dropped
}

// NameFits reports whether a name of an endpoint or a host can be stored.
func NameFits(name string) bool { return encodedLen(name) <= MaxName }

// ClipReason returns the beginning of a text that can be stored as the reason for a job's end.
func ClipReason(text string) string {
	for encodedLen(text) > MaxReason {
		text = text[:len(text)/2]
	}
	return text
}

// encodedLen returns how many bytes a text has at most once it is encoded, without its quotes.
func encodedLen(text string) int {
	const escaped = 6 // \u003c
	n := 0
	for _, r := range text {
		switch {
		case r < ' ' || r == '"' || r == '\\' || r == '<' || r == '>' || r == '&' || r == utf8.RuneError || r == '\u2028' || r == '\u2029':
			n += escaped
		default:
			n += utf8.RuneLen(r)
		}
	}
	return n
}

// Package lines reads recorded events: JSON lines, one event a line, in order of
// time.
package lines

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
)

// maxLine is the length limit of a line, in bytes.
const maxLine = 1 << 20

// Event is one recorded event.
type Event interface {
	// Time returns the time of the event since the beginning of the record.
	Time() clock.Millis
	// Lacks returns what the event needs and does not have, or "" if it is
	// complete.
	Lacks() string
}

// Reader reads records of one kind. Set the fields before calling Read.
type Reader[E Event] struct {
	Name   string // kind of record for error messages, such as trace
	Remedy string // where its events are described, for error messages
}

// Read reads a record. Errors are of kind invalid and name the line.
func (l Reader[E]) Read(r io.Reader) ([]E, error) {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLine)
	var out []E
	for n := 1; scan.Scan(); n++ {
		if len(bytes.TrimSpace(scan.Bytes())) == 0 {
			continue
		}
		dec := json.NewDecoder(bytes.NewReader(scan.Bytes()))
		dec.DisallowUnknownFields()
		var e E
		if err := dec.Decode(&e); err != nil {
			return nil, fault.New(fault.Invalid, "write one JSON event a line, "+l.Remedy, "line %d of the %s: %v", n, l.Name, err)
		}
		if len(out) > 0 && e.Time() < out[len(out)-1].Time() {
			return nil, fault.New(fault.Invalid, "sort the "+l.Name+" by at_ms", "line %d of the %s is earlier than the line before", n, l.Name)
		}
		if lacks := e.Lacks(); lacks != "" {
			return nil, fault.New(fault.Invalid, "give the event all fields that its kind needs, "+l.Remedy, "line %d of the %s: %s", n, l.Name, lacks)
		}
		out = append(out, e)
	}
	if err := scan.Err(); err != nil {
		return nil, fault.New(fault.Invalid, "keep lines under 1 MiB", "%s can't be read: %v", l.Name, err)
	}
	return out, nil
}

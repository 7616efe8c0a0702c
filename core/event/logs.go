package event

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"gypsumcrank/core/clock"
)

// maxLogLine is the longest log line that is read, in bytes.
const maxLogLine = 1 << 20

// ReadLogs reads the log lines of any number of processes as events. Lines that
// are not log lines, and text before time=, are skipped.
func ReadLogs(r io.Reader) ([]Event, error) {
	var out []Event
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for n := int64(1); lines.Scan(); n++ {
		if e, ok := parseLine(lines.Text()); ok {
			e.Seq = n
			out = append(out, e)
		}
	}
	sortEvents(out)
	return out, lines.Err()
}

// parseLine parses one line of key=value pairs.
func parseLine(line string) (Event, bool) {
	at := strings.Index(line, "time=")
	if at < 0 {
		return Event{}, false
	}
	var e Event
	var detail []string
	for rest := line[at:]; rest != ""; {
		var key, value string
		key, value, rest = nextPair(rest)
		switch key {
		case "":
			return Event{}, false
		case "time":
			t, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Event{}, false
			}
			e.At = clock.Millis(t.UnixMilli())
		case "msg":
			e.Kind = value
		case "process":
			e.Process = value
		case "job":
			e.Job = value
		case "epoch":
			e.Epoch, _ = strconv.ParseInt(value, 10, 64) // 0 if it is not a number
		case "level":
		default:
			if key == "task" && e.Job == "" {
				e.Job, _, _ = strings.Cut(value, ".")
			}
			detail = append(detail, key+"="+value)
		}
	}
	e.Detail = strings.Join(detail, " ")
	return e, e.Kind != ""
}

// nextPair splits the first key=value pair off a line; values may be quoted.
func nextPair(s string) (key, value, rest string) {
	s = strings.TrimLeft(s, " ")
	key, s, ok := strings.Cut(s, "=")
	if !ok {
		return "", "", ""
	}
	if strings.HasPrefix(s, `"`) {
		quoted, err := strconv.QuotedPrefix(s)
		if err != nil {
			return "", "", ""
		}
		value, _ = strconv.Unquote(quoted)
		return key, value, strings.TrimSpace(s[len(quoted):])
	}
	value, rest, _ = strings.Cut(s, " ")
	return key, value, strings.TrimSpace(rest)
}

// Select returns the events that match the query.
func Select(events []Event, q Query) []Event {
	var out []Event
	for _, e := range events {
		if q.matches(e) {
			out = append(out, e)
		}
	}
	return out
}

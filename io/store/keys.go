package store

import (
	"strconv"
	"strings"
)

// Keys and prefixes of the system's records; all are under Root.
const (
	Root         = "gypsumcrank/"
	PlannerKey   = Root + "planner"
	SpeedsKey    = Root + "speeds"
	frontRoot    = Root + "front/"
	jobRoot      = Root + "job/"
	cancelRoot   = Root + "cancel/"
	progressRoot = Root + "progress/"
	partRoot     = Root + "part/"
	formatRoot   = Root + "format/"
)

// RecordFormat is the newest format of records that this build reads: the progress of large jobs in parts.
// Builds that don't register one read no parts.
const RecordFormat = 1

// FrontKey holds the address of one front.
func FrontKey(node string) string { return frontRoot + node }

// FrontRoot is the prefix of all FrontKeys.
func FrontRoot() string { return frontRoot }

// JobKey holds a job as it was accepted.
func JobKey(id string) string { return jobRoot + id }

// CancelKey, if it exists, marks a job as cancelled by its caller.
func CancelKey(id string) string { return cancelRoot + id }

// ProgressKey holds a job's progress.
func ProgressKey(id string) string { return progressRoot + id }

// PartKey holds one part of a job's progress. Parts are numbered from 1.
func PartKey(id string, part int) string { return partRoot + id + "/" + strconv.Itoa(part) }

// ParsePart returns the job id and the number in what ParseKey returns of a PartKey.
func ParsePart(rest string) (id string, part int, ok bool) {
	i := strings.LastIndexByte(rest, '/')
	if i < 0 {
		return "", 0, false
	}
	part, err := strconv.Atoi(rest[i+1:])
	return rest[:i], part, err == nil && part > 0
}

// FormatKey holds the newest format of records that one front reads.
func FormatKey(node string) string { return formatRoot + node }

// KeyKind is the kind of record that a key holds.
type KeyKind int

// The kinds of key.
const (
	OtherKey KeyKind = iota
	JobKind
	CancelKind
	ProgressKind
	FrontKind
	PartKind
	FormatKind
)

// ParseKey returns the kind of a key and the job id or node name in it; of a PartKey, see ParsePart.
func ParseKey(key string) (KeyKind, string) {
	for kind, root := range map[KeyKind]string{JobKind: jobRoot, CancelKind: cancelRoot, ProgressKind: progressRoot, FrontKind: frontRoot, PartKind: partRoot, FormatKind: formatRoot} {
		if id, ok := strings.CutPrefix(key, root); ok {
			return kind, id
		}
	}
	return OtherKey, ""
}

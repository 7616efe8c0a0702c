package store

import "strings"

// Keys and prefixes of the system's records; all are under Root.
const (
	Root         = "gypsumcrank/"
	PlannerKey   = Root + "planner"
	SpeedsKey    = Root + "speeds"
	frontRoot    = Root + "front/"
	jobRoot      = Root + "job/"
	cancelRoot   = Root + "cancel/"
	progressRoot = Root + "progress/"
)

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

// KeyKind is the kind of record that a key holds.
type KeyKind int

// The kinds of key.
const (
	OtherKey KeyKind = iota
	JobKind
	CancelKind
	ProgressKind
	FrontKind
)

// ParseKey returns the kind of a key and the job id or node name in it.
func ParseKey(key string) (KeyKind, string) {
	for kind, root := range map[KeyKind]string{JobKind: jobRoot, CancelKind: cancelRoot, ProgressKind: progressRoot, FrontKind: frontRoot} {
		if id, ok := strings.CutPrefix(key, root); ok {
			return kind, id
		}
	}
	return OtherKey, ""
}

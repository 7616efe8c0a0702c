package store

import "strings"

// The keys that the system keeps for jobs; everything lies under Root.
const (
	Root         = "gypsumcrank/"
	PlannerKey   = Root + "planner"
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

// CancelKey marks a job as cancelled by its caller.
func CancelKey(id string) string { return cancelRoot + id }

// ProgressKey holds a job's progress.
func ProgressKey(id string) string { return progressRoot + id }

// KeyKind says what a key is about.
type KeyKind int

// The kinds of key.
const (
	OtherKey KeyKind = iota
	JobKind
	CancelKind
	ProgressKind
	FrontKind
)

// ParseKey tells what a key is about, and whose it is.
func ParseKey(key string) (KeyKind, string) {
	for kind, root := range map[KeyKind]string{JobKind: jobRoot, CancelKind: cancelRoot, ProgressKind: progressRoot, FrontKind: frontRoot} {
		if id, ok := strings.CutPrefix(key, root); ok {
			return kind, id
		}
	}
	return OtherKey, ""
}

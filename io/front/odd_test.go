package front

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/plan"
	"gypsumcrank/core/task"
	"gypsumcrank/io/store"
)

// Guards against processes that end, or stop following the store, because of one entry that another
// writer has left: the others hold, and a job whose progress can't be read is given to no planner, as
// each write of its record would end the planner's term.
func TestOddEntriesHideNoOthers(t *testing.T) {
	nested := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	for name, value := range map[string]string{
		"deeply nested":       `{"id":"2","steps":` + nested + `,"marks":` + nested + `}`,
		"a number too large":  `{"id":"2","steps":[{"count":9223372036854775807}],"marks":[{"k":9223372036854775807,"run":1}]}`,
		"a larger one":        `{"id":"2","steps":[{"count":1e400}],"marks":[{"run":1e400}]}`,
		"another type":        `{"id":2,"steps":{},"marks":{}}`,
		"a port out of range": "10.1.0.7:99999",
		"no port":             "10.1.0.7",
		"port 0":              "10.1.0.7:0",
		"bytes":               "\x00\xff\xfe",
		"nothing":             "",
		"a long text":         strings.Repeat("a", 1<<20),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var log bytes.Buffer
			x := &Index{Log: slog.New(slog.NewTextHandler(&log, nil))}
			jobs := func() (ids []string) {
				x.Listen(func(m any) { ids = append(ids, m.(plan.JobMsg).Job.ID) })()
				return ids
			}
			entry := func(key, value string, rev int64) store.Change {
				return store.Change{KV: store.KV{Key: key, Value: []byte(value), Rev: rev}}
			}
			job := func(id string) string {
				raw, err := task.Encode(&task.Job{ID: id, Queue: "q", Steps: []task.Step{{Count: 1, Need: task.Resources{MilliCPU: 100}}}})
				c.Assert(err, qt.IsNil)
				return string(raw)
			}
			x.Apply([]store.Change{
				entry(store.JobKey("2"), value, 2), entry(store.CancelKey("2"), value, 3), entry(store.FrontKey("odd"), value, 4),
				entry(store.JobKey("1"), job("1"), 5), entry(store.FrontKey("front-1"), "10.1.0.7:7600", 6),
			})
			c.Check(jobs(), qt.DeepEquals, []string{"1"})
			c.Check(x.Fronts(), qt.DeepEquals, []string{"10.1.0.7:7600"})

			x.Apply([]store.Change{entry(store.JobKey("3"), job("3"), 7), entry(store.ProgressKey("3"), value, 8)})
			c.Check(jobs(), qt.DeepEquals, []string{"1"})
			c.Check(log.String(), qt.Contains, "stored_progress_unreadable")
			x.Apply([]store.Change{entry(store.ProgressKey("3"), `{"state":"running"}`, 9)})
			c.Check(len(jobs()), qt.Equals, 2)
		})
	}
}

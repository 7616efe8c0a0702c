package meter

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestWriteListsMetricsAsText(t *testing.T) {
	Count("test_calls", 2, "get", "ok")
	Gauge("test_queue", 3, "acme")
	Observe("test_wait", 40)
	Gauge("test_gone", 1, "x")
	ClearGauge("test_gone")
	var b bytes.Buffer
	qt.Assert(t, Write(&b), qt.IsNil)
	c := qt.New(t)
	c.Check(b.String(), qt.Contains, "test_calls{get,ok} 2\n")
	c.Check(b.String(), qt.Contains, "test_queue{acme} 3\n")
	c.Check(b.String(), qt.Contains, "test_wait_ms_p99 40\n")
	c.Check(b.String(), qt.Not(qt.Contains), "test_gone")
}

package entry

import (
	"encoding/json"
	"expvar"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gypsumcrank/core/clock"
)

// times is a latency histogram in milliseconds, shown among the metrics.
type times struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

var (
	requestTimes = newTimes("request_ms")
	startTimes   = newTimes("job_start_ms")
)

func newTimes(name string) *times {
	t := &times{hist: hdrhistogram.New(0, int64(24*clock.Hour), 2)}
	expvar.Publish(name, t)
	return t
}

func (t *times) observe(d clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.hist.RecordValue(max(0, int64(d)))
}

// String shows count, quantiles and maximum as JSON.
func (t *times) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	raw, _ := json.Marshal(struct {
		Count int64 `json:"count"`
		P50   int64 `json:"p50"`
		P95   int64 `json:"p95"`
		P99   int64 `json:"p99"`
		Max   int64 `json:"max"`
	}{t.hist.TotalCount(), t.hist.ValueAtQuantile(50), t.hist.ValueAtQuantile(95), t.hist.ValueAtQuantile(99), t.hist.Max()})
	return string(raw)
}

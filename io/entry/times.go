package entry

import (
	"encoding/json"
	"expvar"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gypsumcrank/core/clock"
)

// histogram is a latency histogram in milliseconds, published as a metric.
type histogram struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

var (
	requestLatency  = newHistogram("request_ms")
	jobStartLatency = newHistogram("job_start_ms")
)

func newHistogram(name string) *histogram {
	h := &histogram{hist: hdrhistogram.New(0, int64(24*clock.Hour), 2)}
	expvar.Publish(name, h)
	return h
}

func (h *histogram) observe(d clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.hist.RecordValue(max(0, int64(d)))
}

// String returns the count, quantiles and maximum as JSON.
func (h *histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	raw, _ := json.Marshal(struct {
		Count int64 `json:"count"`
		P50   int64 `json:"p50"`
		P95   int64 `json:"p95"`
		P99   int64 `json:"p99"`
		Max   int64 `json:"max"`
	}{h.hist.TotalCount(), h.hist.ValueAtQuantile(50), h.hist.ValueAtQuantile(95), h.hist.ValueAtQuantile(99), h.hist.Max()})
	return string(raw)
}

// Package meter holds the counters, gauges and latency histograms of a process.
// Counters and gauges are published by expvar; Write writes all of them as text.
package meter

import (
	"expvar"
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gypsumcrank/core/clock"
)

// maxSpan is the largest duration that histograms record; longer ones count as
// maxSpan.
const maxSpan = 10 * clock.Minute

var (
	mu         sync.Mutex
	histograms = make(map[string]*hdrhistogram.Histogram)
	counters   = expvar.NewMap("counters")
	gauges     = expvar.NewMap("gauges")
)

// seriesName returns the name of a metric followed by its labels.
func seriesName(metric string, labels []string) string {
	if len(labels) == 0 {
		return metric
	}
	return metric + "{" + strings.Join(labels, ",") + "}"
}

// Count adds n to a counter.
func Count(metric string, n int64, labels ...string) { counters.Add(seriesName(metric, labels), n) }

// Gauge sets a gauge to v.
func Gauge(metric string, v int64, labels ...string) {
	i := new(expvar.Int)
	i.Set(v)
	gauges.Set(seriesName(metric, labels), i)
}

// ClearGauge deletes the labelled gauges of a metric, so that label values that no
// longer occur are not reported.
func ClearGauge(metric string) {
	var keys []string
	gauges.Do(func(kv expvar.KeyValue) {
		if strings.HasPrefix(kv.Key, metric+"{") {
			keys = append(keys, kv.Key)
		}
	})
	for _, key := range keys {
		gauges.Delete(key)
	}
}

// Observe records a duration in a histogram.
func Observe(metric string, span clock.Millis, labels ...string) {
	mu.Lock()
	defer mu.Unlock()
	key := seriesName(metric, labels)
	h := histograms[key]
	if h == nil {
		h = hdrhistogram.New(1, int64(maxSpan), 2)
		histograms[key] = h
	}
	_ = h.RecordValue(int64(min(max(span, 1), maxSpan)))
}

// Write writes all metrics, one per line.
func Write(w io.Writer) error {
	var lines []string
	for _, m := range []*expvar.Map{counters, gauges} {
		m.Do(func(kv expvar.KeyValue) { lines = append(lines, fmt.Sprintf("%s %s", kv.Key, kv.Value)) })
	}
	mu.Lock()
	for key, h := range histograms {
		for _, q := range []float64{50, 95, 99} {
			lines = append(lines, fmt.Sprintf("%s_ms_p%.0f %d", key, q, h.ValueAtQuantile(q)))
		}
		lines = append(lines, fmt.Sprintf("%s_count %d", key, h.TotalCount()))
	}
	mu.Unlock()
	sort.Strings(lines)
	_, err := io.WriteString(w, strings.Join(lines, "\n")+"\n")
	return err
}

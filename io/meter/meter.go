// Package meter holds the counters, gauges and latency histograms of a
// process, published by expvar, and writes them as text.
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

// longest is the largest span that a histogram tells apart.
const longest = 10 * clock.Minute

var (
	mu         sync.Mutex
	histograms = make(map[string]*hdrhistogram.Histogram)
	counters   = expvar.NewMap("counters")
	gauges     = expvar.NewMap("gauges")
)

// name joins a metric's name and its labels.
func name(metric string, labels []string) string {
	if len(labels) == 0 {
		return metric
	}
	return metric + "{" + strings.Join(labels, ",") + "}"
}

// Count adds to a counter.
func Count(metric string, n int64, labels ...string) { counters.Add(name(metric, labels), n) }

// Gauge sets a value that goes up and down.
func Gauge(metric string, v int64, labels ...string) {
	i := new(expvar.Int)
	i.Set(v)
	gauges.Set(name(metric, labels), i)
}

// ClearGauge drops all gauges of a metric, for those whose labels come and go.
func ClearGauge(metric string) {
	var gone []string
	gauges.Do(func(kv expvar.KeyValue) {
		if strings.HasPrefix(kv.Key, metric+"{") {
			gone = append(gone, kv.Key)
		}
	})
	for _, key := range gone {
		gauges.Delete(key)
	}
}

// Observe records a span in a histogram.
func Observe(metric string, span clock.Millis, labels ...string) {
	mu.Lock()
	defer mu.Unlock()
	key := name(metric, labels)
	h := histograms[key]
	if h == nil {
		h = hdrhistogram.New(1, int64(longest), 2)
		histograms[key] = h
	}
	// A span beyond the largest counts as the largest.
	_ = h.RecordValue(int64(min(max(span, 1), longest)))
}

// Write writes all metrics, one a line.
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

package demo_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"gypsumcrank/internal/demo"
)

// demoTimeout limits the run time of the demonstration.
const demoTimeout = 20 * time.Second

func TestDemo(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	s, err := demo.Start(ctx, slog.New(slog.DiscardHandler))
	c.Assert(err, qt.IsNil)
	defer s.Stop()
	var out bytes.Buffer
	c.Assert(s.Show(ctx, &out), qt.IsNil)
	for _, text := range []string{"ran once", "the gang ran", "outcome not_run", "job_reclaims", "job_done"} {
		c.Check(strings.Contains(out.String(), text), qt.IsTrue, qt.Commentf("%s", text))
	}
}

// callers is the number of concurrent callers: 60 for each of the six endpoints,
// as in the current installation.
const callers = 6 * 60

// BenchmarkRequest sends one-slot requests through entry and agent, and the
// same load directly to the endpoints, and reports the latency of both.
func BenchmarkRequest(b *testing.B) {
	s, err := demo.Start(context.Background(), slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	defer s.Stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	send := func(url string) error {
		req, err := http.NewRequest("POST", url, strings.NewReader("walnut"))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer studio-token")
		req.Header.Set("Gypsumcrank-Attempt", "a")
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		if err == nil && resp.StatusCode != 200 {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	for _, n := range []int{1, 24, callers} {
		through, direct := urls(s.Entries, "/v1/services/swatch-render/requests"), urls(s.Endpoints(), "/v1/run")
		name := map[int]string{1: "callers=1", 24: "callers=slots", callers: "callers=360"}[n]
		b.Run(name+"/direct", func(b *testing.B) { measure(b, n, direct, send) })
		b.Run(name+"/through", func(b *testing.B) { measure(b, n, through, send) })
	}
}

func urls(addrs []string, path string) []string {
	var out []string
	for _, a := range addrs {
		out = append(out, "http://"+a+path)
	}
	return out
}

// measure distributes b.N requests among n callers and reports latency,
// throughput and failures.
func measure(b *testing.B, n int, urls []string, send func(url string) error) {
	hist := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	indexes := make(chan int)
	failed := 0
	for range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range indexes {
				began := time.Now()
				err := send(urls[i%len(urls)])
				took := time.Since(began)
				mu.Lock()
				_ = hist.RecordValue(took.Microseconds())
				if err != nil {
					failed++
				}
				mu.Unlock()
			}
		}()
	}
	b.ResetTimer()
	for i := range b.N {
		indexes <- i
	}
	close(indexes)
	wg.Wait()
	b.ReportMetric(float64(hist.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(hist.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(failed), "failed")
}

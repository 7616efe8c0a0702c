package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"gypsumcrank/io/store"
)

// oddKinds are the messages that sendOdd sends.
var oddKinds = []string{
	"another_writer", "born_in_the_future", "largest_numbers", "negative_numbers", "other_types", "missing_fields", "deeply_nested", "too_long", "no_json",
	"departure", "departure_of_an_earlier_life",
}

// sendOdd sends a message that its executor has not sent to the control address of each side.
// Argument: KIND.
func (s *site) sendOdd(args []string) error {
	for name := range s.executors {
		if err := s.sendOddTo(name, args[0]); err != nil {
			return err
		}
	}
	return nil
}

// oddStep sends an odd message to a random side now and then.
func (s *soak) oddStep(r *rand.Rand) {
	if r.IntN(8) > 0 {
		return
	}
	if err := s.sendOddTo(randomKey(r, s.executors), oddKinds[r.IntN(len(oddKinds))]); err != nil {
		s.t.Fatal(err)
	}
}

// sendOddTo sends one side a message that its executor has not sent.
func (s *site) sendOddTo(side, kind string) error {
	e := s.executors[side]
	control := "http://" + s.procs[side].addr + "/v1/executors/"
	later, largest := time.Now().UnixMilli(), int64(math.MaxInt64)
	path, body := control+"x-"+kind+"/heartbeat", ""
	switch kind {
	case "another_writer":
		body = fmt.Sprintf(`{"service":"other","address":"127.0.0.1:9","state":"ready","capacity":{"cpu":1000,"mem_mb":1000,"gpu":1},"labels":["a","r9"],"seq_no":1,"born":%d}`, later)
	case "born_in_the_future":
		path = control + e.ID + "/heartbeat"
		body = fmt.Sprintf(`{"service":"svc","state":"ready","capacity":{"cpu":1000,"mem_mb":1000,"gpu":1},"labels":["a","r9"],"seq_no":1,"born":%d}`, later+1e9)
	case "largest_numbers":
		body = fmt.Sprintf(`{"service":"svc","state":"draining","remaining_ms":%d,"cold_left_ms":%[1]d,"capacity":{"cpu":%[1]d,"mem_mb":%[1]d,"gpu":%[1]d},"labels":["a","r9"],"seq_no":%[1]d,"born":%[1]d}`, largest)
	case "negative_numbers":
		body = fmt.Sprintf(`{"service":"svc","state":"ready","remaining_ms":-1,"capacity":{"cpu":-1,"mem_mb":-1,"gpu":-1},"labels":["a","r9"],"seq_no":-1,"born":%d}`, later)
	case "other_types":
		body = `{"service":5,"state":["ready"],"capacity":"much","labels":{"a":1},"seq_no":"4","born":"today"}`
	case "missing_fields":
		body = `{"service":"svc","state":"ready"}`
	case "deeply_nested":
		body = fmt.Sprintf(`{"service":"svc","state":"ready","born":%d,"labels":%s%s}`, later, strings.Repeat("[", 100_000), strings.Repeat("]", 100_000))
	case "too_long":
		body = fmt.Sprintf(`{"service":"svc","state":"ready","born":%d,"labels":["%s"]}`, later, strings.Repeat("a", 5<<20))
	case "no_json":
		body = "\x00\xff{"
	case "departure":
		path, body = control+e.ID+"/deregister", "{}"
	case "departure_of_an_earlier_life":
		path, body = control+e.ID+"/deregister", `{"born":1}`
	default:
		return fmt.Errorf("unknown kind of message %q", kind)
	}
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post(path, "application/json", strings.NewReader(body))
	if err != nil {
		return nil // the side may be down, or close the connection on a body that is too long
	}
	return resp.Body.Close()
}

// storeOdd leaves entries of another writer among those of the fronts and of the jobs, and under the
// operator's prefix.
func (s *site) storeOdd([]string) error {
	nested := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	for i, value := range []string{
		nested, `{"id":"%s","steps":[{"count":9223372036854775807}],"marks":[{"k":9223372036854775807,"run":1}]}`, `{"marks":[{"run":1e400}]}`,
		"127.0.0.1:99999", "127.0.0.1", "\x00\xff", "",
	} {
		id := fmt.Sprintf("%016x", 0xf0+i)
		for _, key := range []string{store.FrontKey(id), store.JobKey(id), store.ProgressKey(id), store.CancelKey(id), "op/" + id} {
			s.store.Put(key, []byte(strings.ReplaceAll(value, "%s", id)))
		}
	}
	s.store.Put(store.SpeedsKey, []byte(nested))
	return nil
}

// checkNoneEnded checks that every process that was started still runs.
func (s *site) checkNoneEnded([]string) error {
	for name, d := range s.procs {
		// The state of a process that has ended and was not waited for is Z.
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.cmd.Process.Pid))
		if err != nil || strings.Contains(string(stat), ") Z ") {
			return fmt.Errorf("%s has ended: %v\n%s", name, err, d.out.String())
		}
	}
	return nil
}

package main

import (
	"fmt"
	"math"
	"net/http"
	"os"
	"strings"
	"time"

	"gypsumcrank/io/store"
)

// sendOdd sends a message that no executor has sent to the control address of each side, and to
// each of them the one message that a real executor in its place would not send. Argument: KIND.
func (s *site) sendOdd(args []string) error {
	for name, e := range s.executors {
		control := "http://" + s.procs[name].addr + "/v1/executors/"
		beat := func(id string, fields string) (path, body string) {
			return control + id + "/heartbeat", fields
		}
		later, never := time.Now().UnixMilli(), int64(math.MaxInt64)
		var path, body string
		switch args[0] {
		case "another_writer":
			path, body = beat("x-1", fmt.Sprintf(`{"service":"other","address":"127.0.0.1:9","state":"ready","capacity":{"cpu":1000,"mem_mb":1000,"gpu":1},"labels":["a","r9"],"seq_no":1,"born":%d}`, later))
		case "born_in_the_future":
			path, body = beat(e.ID, fmt.Sprintf(`{"service":"svc","state":"ready","capacity":{"cpu":1000,"mem_mb":1000,"gpu":1},"labels":["a","r9"],"seq_no":1,"born":%d}`, later+1e9))
		case "largest_numbers":
			path, body = beat("x-2", fmt.Sprintf(`{"service":"svc","state":"draining","remaining_ms":%d,"cold_left_ms":%[1]d,"capacity":{"cpu":%[1]d,"mem_mb":%[1]d,"gpu":%[1]d},"labels":["a","r9"],"seq_no":%[1]d,"born":%[1]d}`, never))
		case "negative_numbers":
			path, body = beat("x-3", fmt.Sprintf(`{"service":"svc","state":"ready","remaining_ms":-1,"capacity":{"cpu":-1,"mem_mb":-1,"gpu":-1},"labels":["a","r9"],"seq_no":-1,"born":%d}`, later))
		case "other_types":
			path, body = beat("x-4", `{"service":5,"state":["ready"],"capacity":"much","labels":{"a":1},"seq_no":"4","born":"today"}`)
		case "missing_fields":
			path, body = beat("x-5", `{"service":"svc","state":"ready"}`)
		case "deeply_nested":
			path, body = beat("x-6", fmt.Sprintf(`{"service":"svc","state":"ready","born":%d,"labels":%s%s}`, later, strings.Repeat("[", 100_000), strings.Repeat("]", 100_000)))
		case "too_long":
			path, body = beat("x-7", fmt.Sprintf(`{"service":"svc","state":"ready","born":%d,"labels":["%s"]}`, later, strings.Repeat("a", 5<<20)))
		case "no_json":
			path, body = beat("x-8", "\x00\xff{")
		case "departure":
			path, body = control+e.ID+"/deregister", "{}"
		case "departure_of_an_earlier_life":
			path, body = control+e.ID+"/deregister", `{"born":1}`
		default:
			return fmt.Errorf("unknown kind of message %q", args[0])
		}
		resp, err := http.Post(path, "application/json", strings.NewReader(body))
		if err != nil {
			continue // the side may close the connection on a body that is too long
		}
		resp.Body.Close()
	}
	return nil
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

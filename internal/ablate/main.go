// Command ablate measures what each mechanism is worth: it switches one off at a time in a
// clone of the repository, plays the same days with the same seeds as with the unchanged code,
// and prints a table of the paired differences.
//
//	go run ./internal/ablate --bench BENCH --site SITE --days trouble-1,scale-1 --seeds 1-6
//
// BENCH is the users' bench, SITE one of its site files. The journal entries of the plays are
// copied into the repository.
package main

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

type options struct {
	Bench string   `help:"Path of the bench's program." required:"" type:"path"`
	Site  string   `help:"Site file." required:"" type:"path"`
	Days  []string `help:"Days of the site." required:""`
	Seeds string   `help:"First and last seed." default:"1-6"`
	Only  []string `help:"Names of the mechanisms to switch off; all if none is given."`
	Jobs  int      `help:"Plays at the same time." default:"4"`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Measures what each mechanism is worth."))
	if err := o.run(); err != nil {
		fmt.Fprintln(os.Stderr, "ablate:", err)
		os.Exit(1)
	}
}

// play is one day with one seed.
type play struct {
	day  string
	seed int
}

// outcome is what the bench reports of a play.
type outcome struct {
	Worth  float64        `json:"G"`
	Broken map[string]any `json:"breaks"`
}

func (o *options) run() error {
	plays, err := o.plays()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "ablate")
	if err != nil {
		return errors.Wrap(err, "make room for the clones")
	}
	defer os.RemoveAll(dir)
	base, err := o.measure(dir, mechanism{Name: "none"}, plays)
	if err != nil {
		return err
	}
	fmt.Printf("%d plays, mean worth %.3f\n\n", len(base), mean(worths(base)))
	fmt.Println("| without | worth of it | better without, worse | rules broken | promise |\n| --- | --- | --- | --- | --- |")
	for _, m := range mechanisms {
		if len(o.Only) > 0 && !contains(o.Only, m.Name) {
			continue
		}
		got, err := o.measure(dir, m, plays)
		if err != nil {
			return errors.Wrap(err, m.Name)
		}
		fmt.Println(row(m, plays, base, got))
	}
	return nil
}

func (o *options) plays() ([]play, error) {
	first, last, ok := strings.Cut(o.Seeds, "-")
	a, err := strconv.Atoi(first)
	b, err2 := strconv.Atoi(last)
	if !ok || err != nil || err2 != nil || b < a {
		return nil, errors.Errorf("seeds %q: give the first and the last one, as in 1-6", o.Seeds)
	}
	var out []play
	for _, day := range o.Days {
		for seed := a; seed <= b; seed++ {
			out = append(out, play{day, seed})
		}
	}
	return out, nil
}

// measure plays all plays on a clone without one mechanism.
func (o *options) measure(dir string, m mechanism, plays []play) (map[play]outcome, error) {
	clone := filepath.Join(dir, m.Name)
	if out, err := exec.Command("git", "clone", "-q", ".", clone).CombinedOutput(); err != nil {
		return nil, errors.Wrapf(err, "clone: %s", out)
	}
	defer os.RemoveAll(clone)
	for _, e := range m.Edits {
		if err := e.apply(clone); err != nil {
			return nil, err
		}
	}
	if out, err := o.command(clone, "build").CombinedOutput(); err != nil {
		return nil, errors.Wrapf(err, "build: %s", out)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	got := make(map[play]outcome)
	slots := make(chan struct{}, o.Jobs)
	for i, p := range plays {
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			r, err := o.play(clone, m, p, filepath.Join(dir, fmt.Sprint(i, ".json")))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
				return
			}
			got[p] = r
		}()
	}
	wg.Wait()
	if failed != nil {
		return nil, failed
	}
	out, err := exec.Command("cp", "-rn", filepath.Join(clone, "journal")+"/.", "journal/").CombinedOutput()
	return got, errors.Wrapf(err, "copy the journal: %s", out)
}

func (o *options) command(dir string, args ...string) *exec.Cmd {
	c := exec.Command(o.Bench, args...)
	c.Dir = dir
	return c
}

// play plays one day in a clone and reads its report.
func (o *options) play(clone string, m mechanism, p play, report string) (outcome, error) {
	var r outcome
	out, err := o.command(clone, "run", o.Site, p.day, "--seed", strconv.Itoa(p.seed), "--no-cpu", "--report", report, "--why", "ablation: without "+m.Name).CombinedOutput()
	raw, readErr := os.ReadFile(report)
	if readErr != nil {
		return r, errors.Wrapf(readErr, "play %s with seed %d (%v): %s", p.day, p.seed, err, out)
	}
	defer os.Remove(report)
	return r, errors.Wrap(json.Unmarshal(raw, &r), "decode the report")
}

// row formats the paired differences of one mechanism: what is lost without it.
func row(m mechanism, plays []play, base, got map[play]outcome) string {
	var worth []float64
	better, worse, broken := 0, 0, 0
	for _, p := range plays {
		d := base[p].Worth - got[p].Worth
		worth = append(worth, d)
		switch {
		case d < -noticeable:
			better++
		case d > noticeable:
			worse++
		}
		if len(got[p].Broken) > 0 {
			broken++
		}
	}
	return fmt.Sprintf("| %s | %+.3f ± %.3f | %d, %d | %d | %s |", m.Name, mean(worth), standardError(worth), better, worse, broken, m.Promise)
}

// noticeable is the least difference of worth that counts as better or worse.
const noticeable = 0.005

func worths(plays map[play]outcome) []float64 {
	var out []float64
	for _, o := range plays {
		out = append(out, o.Worth)
	}
	return out
}

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(max(1, len(v)))
}

func standardError(v []float64) float64 {
	if len(v) < 2 {
		return 0
	}
	m, sum := mean(v), 0.0
	for _, x := range v {
		sum += (x - m) * (x - m)
	}
	return math.Sqrt(sum / float64(len(v)-1) / float64(len(v)))
}

func contains(all []string, one string) bool {
	for _, s := range all {
		if s == one {
			return true
		}
	}
	return false
}

package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"os/user"
	"text/tabwriter"
	"time"

	"gypsumcrank/core/conf"
	"gypsumcrank/core/event"
	"gypsumcrank/io/admin"
	"gypsumcrank/io/certs"
	"gypsumcrank/io/entry"
)

type operatorFlags struct {
	EntryURL      string `default:"http://127.0.0.1:8080" help:"URL of an entry."`
	OperatorToken string `help:"The operators' token."`
}

func (f operatorFlags) client() *admin.Client {
	return &admin.Client{URL: f.EntryURL, Token: f.OperatorToken}
}

type getCmd struct {
	operatorFlags
	Path string `arg:"" optional:"" help:"Path of the setting; all settings if omitted."`
}

// Run prints the value as JSON, and its revision.
func (c *getCmd) Run() error {
	v, err := c.client().Get(context.Background(), c.Path)
	if err != nil {
		return err
	}
	fmt.Printf("%s\nrevision %d\n", v.Value, v.Revision)
	return nil
}

type setCmd struct {
	operatorFlags
	Path    string        `arg:"" help:"Path of the setting."`
	Value   string        `arg:"" optional:"" help:"Value as JSON; if omitted, the setting is removed."`
	Expect  int64         `help:"Last revision that you have seen; if the path has changed since, the command fails with a conflict."`
	Wait    bool          `help:"Wait until all processes have applied the change."`
	Timeout time.Duration `default:"16s" help:"Maximum time to wait."`
}

// Run changes the setting and prints the revision.
func (c *setCmd) Run() error {
	return set(c.operatorFlags, entry.SetRequest{Path: c.Path, Value: c.Value, Expect: c.Expect}, c.Wait, c.Timeout)
}

func set(f operatorFlags, in entry.SetRequest, wait bool, timeout time.Duration) error {
	in.By = currentOperator()
	began := time.Now()
	v, err := f.client().Set(context.Background(), in)
	if err != nil {
		return err
	}
	fmt.Printf("accepted as revision %d\n", v.Revision)
	if !wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := f.client().Wait(ctx, v.Revision); err != nil {
		return err
	}
	fmt.Printf("in force everywhere after %d ms\n", time.Since(began).Milliseconds())
	return nil
}

func currentOperator() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "operator"
}

type historyCmd struct{ operatorFlags }

// Run prints one line for each change in the history of the settings.
func (c *historyCmd) Run() error {
	changes, err := c.client().History(context.Background())
	if err != nil {
		return err
	}
	for _, ch := range changes {
		fmt.Printf("revision=%d at=%s by=%s path=%s value=%s before=%s\n", ch.Revision, ch.At.Time().UTC().Format(time.RFC3339), ch.By, ch.Path, ch.Value, ch.Before)
	}
	return nil
}

type statusCmd struct {
	operatorFlags
	JSON bool `help:"Print as JSON."`
}

// Run prints the status of the region as the entry sees it.
func (c *statusCmd) Run() error {
	s, err := c.client().Status(context.Background())
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(s)
	}
	fmt.Printf("entry %s  revision %d  planner %s (epoch %d)  store out: %v  view age: %s\n", s.Entry, s.Revision, s.Planner, s.Epoch, s.StoreOut, s.ViewAge)
	fmt.Printf("unmet guaranteed accelerators %d  fragmentation %.2f  jobs %v\n", s.Unmet, s.Fragmentation, s.Jobs)
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "process\trole\tstate\trevision\theard\tworker\track\tload\ttasks")
	for _, p := range s.Processes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%d\t%d\n", p.Name, p.Role, p.State, p.Revision, p.HeardAgo, p.Worker, p.Rack, p.Load, p.Tasks)
	}
	return w.Flush()
}

type explainCmd struct {
	operatorFlags
	Job  string   `arg:"" help:"ID of the job."`
	Logs []string `help:"Read these log files instead of asking an entry; - is standard input."`
}

// Run prints what happened to the job, from the logs or as an entry explains it.
func (c *explainCmd) Run() error {
	if len(c.Logs) > 0 {
		events, err := readLogs(c.Logs)
		if err != nil {
			return err
		}
		return explain(os.Stdout, c.Job, events)
	}
	text, err := c.client().Explain(context.Background(), c.Job)
	fmt.Print(text)
	return err
}

type drainCmd struct {
	operatorFlags
	Agent   string        `arg:"" help:"Name of the agent."`
	Undo    bool          `help:"End the drain, so that the agent takes work again."`
	Timeout time.Duration `default:"16s" help:"Maximum time to wait until all processes have applied the change."`
}

// Run drains the agent, or ends the drain, and waits until all processes have
// applied the change.
func (c *drainCmd) Run() error {
	in := entry.SetRequest{Path: "drain/" + c.Agent, Value: "true"}
	if c.Undo {
		in.Value = ""
	}
	return set(c.operatorFlags, in, true, c.Timeout)
}

type timelineCmd struct {
	operatorFlags
	Job   string        `help:"Show only the events of this job or request."`
	Since time.Duration `default:"10m" help:"How far to look back; not used with --logs."`
	JSON  bool          `help:"Print JSON lines."`
	Logs  []string      `help:"Read these log files instead of asking an entry; - is standard input."`
}

// events returns the events from the log files if any are given, otherwise from
// the entries.
func (c *timelineCmd) events() ([]event.Event, error) {
	if len(c.Logs) == 0 {
		return c.client().Events(context.Background(), event.Query{Job: c.Job, Since: admin.Since(c.Since)})
	}
	all, err := readLogs(c.Logs)
	return event.Select(all, event.Query{Job: c.Job}), err
}

// Run prints the merged events, oldest first.
func (c *timelineCmd) Run() error {
	events, err := c.events()
	if err != nil {
		return err
	}
	for _, e := range events {
		if c.JSON {
			if err := json.NewEncoder(os.Stdout).Encode(e); err != nil {
				return err
			}
			continue
		}
		fmt.Println(eventLine(e))
	}
	return nil
}

func eventLine(e event.Event) string {
	line := fmt.Sprintf("%s %-10s %-22s", e.At.Time().UTC().Format("15:04:05.000"), e.Process, e.Kind)
	for _, kv := range [][2]string{{"job", e.Job}, {"request", e.Request}, {"attempt", e.Attempt}, {"detail", e.Detail}} {
		if kv[1] != "" {
			line += fmt.Sprintf(" %s=%q", kv[0], kv[1])
		}
	}
	return line
}

type keysCmd struct {
	Init  keysInitCmd  `cmd:"" help:"Make a certificate authority and a certificate for each role."`
	Token keysTokenCmd `cmd:"" help:"Make a token and its hash."`
}

type keysInitCmd struct {
	Dir  string        `default:"keys" help:"Directory for the PEM files."`
	Last time.Duration `default:"8760h" help:"Validity period of the certificates."`
}

// Run writes the PEM files.
func (c *keysInitCmd) Run() error {
	if err := certs.WriteDir(c.Dir, c.Last); err != nil {
		return err
	}
	fmt.Println("wrote ca.pem, entry.pem, entry-key.pem, agent.pem and agent-key.pem to", c.Dir)
	return nil
}

type keysTokenCmd struct {
	Token string `arg:"" optional:"" help:"Token to hash; a new one is made if omitted."`
}

// Run prints the token and the hash that stands for it in the settings.
func (c *keysTokenCmd) Run() error {
	if c.Token == "" {
		var raw [24]byte
		_, _ = rand.Read(raw[:])
		c.Token = hex.EncodeToString(raw[:])
	}
	fmt.Printf("token %s\nhash %s\n", c.Token, conf.HashToken(c.Token))
	return nil
}

// Command gypsumcrank is the only binary of the system. It holds the daemons,
// the operators' commands and a demonstration.
package main

import (
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/alecthomas/kong"

	"gypsumcrank/core/fault"
	"gypsumcrank/io/logs"
)

const version = "0.1.0"

// Exit codes.
const (
	exitFailed  = 1
	exitSetting = 2
)

type commands struct {
	Log     logFlags         `embed:"" prefix:"log-"`
	Version kong.VersionFlag `help:"Show the version."`

	Entry    entryCmd    `cmd:"" help:"Run the daemon of an entry host."`
	Agent    agentCmd    `cmd:"" help:"Run the agent of an endpoint."`
	Front    frontCmd    `cmd:"" help:"Run a front on the users' platform."`
	Side     sideCmd     `cmd:"" help:"Run the side of an endpoint on the users' platform."`
	Demo     demoCmd     `cmd:"" help:"Demonstrate the whole system on this machine, without any setup."`
	Get      getCmd      `cmd:"" help:"Read the settings at a path."`
	Set      setCmd      `cmd:"" help:"Change the setting at a path."`
	History  historyCmd  `cmd:"" help:"List the changes of the settings."`
	Status   statusCmd   `cmd:"" help:"Show the planner, and the processes with the revision that each has applied."`
	Explain  explainCmd  `cmd:"" help:"Explain why a job waited, moved or was refused."`
	Drain    drainCmd    `cmd:"" help:"Drain an agent, so that it takes no new work, or end the drain."`
	Timeline timelineCmd `cmd:"" help:"Show the events of all processes in order of time."`
	Keys     keysCmd     `cmd:"" help:"Make keys, certificates and tokens."`
	Settings settingsCmd `cmd:"" help:"Work with settings files."`
	Load     loadCmd     `cmd:"" help:"Play a recorded load against stand-ins for the users' platform, in real time, and report the outcome for its callers."`
	Replay   replayCmd   `cmd:"" help:"Replay a recorded trace through the scheduler and report the outcome."`
}

type logFlags struct {
	Level string `enum:"debug,info,warn,error" default:"info" help:"Minimum level of log lines: debug, info, warn or error."`
}

// logger returns a logger that writes to out at the chosen level, and makes it
// the default logger.
func (l logFlags) logger(out io.Writer) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(l.Level)) // kong accepts only known levels
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level}))
	slog.SetDefault(log)
	return log
}

// logOutput returns where a command logs: standard output for the platform's
// daemons, through a writer that never blocks them, and standard error for the
// rest.
func logOutput(command string) (out io.Writer, flush func()) {
	if !isDaemon(command) {
		return os.Stderr, func() {}
	}
	w := &logs.Writer{Out: os.Stdout}
	w.Start()
	return w, w.Close
}

func main() {
	if len(os.Args) > 1 && isDaemon(os.Args[1]) {
		notifySIGHUP()
	}
	os.Exit(run(os.Args[1:]))
}

// isDaemon reports whether a command is one of the platform's daemons.
func isDaemon(command string) bool { return command == "front" || command == "side" }

func run(args []string) int {
	var c commands
	parser, err := kong.New(&c,
		kong.Name("gypsumcrank"),
		kong.Description("A scheduler for multi-accelerator jobs under client account guarantees.\n\nEvery flag can also be set by an environment variable, GYPSUMCRANK_ and the flag's name."),
		kong.DefaultEnvars("GYPSUMCRANK"),
		kong.Vars{"version": version},
		kong.Vars(clientDefaults()),
		kong.UsageOnError(),
	)
	if err != nil {
		return report(err, exitFailed)
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		return report(err, exitSetting)
	}
	out, flush := logOutput(ctx.Command())
	defer flush()
	if err := ctx.Run(c.Log.logger(out)); err != nil {
		code := exitFailed
		if fault.Is(err, fault.Invalid) {
			code = exitSetting
		}
		return report(err, code)
	}
	return 0
}

func report(err error, code int) int {
	fmt.Fprintln(os.Stderr, "gypsumcrank:", err)
	return code
}

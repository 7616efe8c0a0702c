package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a script.
const (
	held   = 0 // the rule held
	broken = 1 // the rule was broken
	failed = 2 // the case could not run
)

// cases are the scripts by name.
var cases = map[string]func(r *rig, trouble bool) int{
	"bigrecord": recordTooLarge,
	"service":   serviceReplaced,
	"stale":     staleFront,
	"late":      lateStartBeforeHeartbeat,
}

func main() {
	name := flag.String("case", "", "case to play")
	folder := flag.String("folder", ".", "folder of record.txt")
	binary := flag.String("binary", "target/gypsumcrank", "program of the project")
	flag.Parse()
	os.Exit(play(*name, *folder, *binary))
}

// play plays one case and returns its exit code.
func play(name, folder, binary string) int {
	run := cases[name]
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil || run == nil {
		fmt.Println("no such case, or the record can't be written:", name, err)
		return failed
	}
	defer file.Close()
	r, err := newRig(binary, file)
	if err != nil {
		fmt.Println(err)
		return failed
	}
	defer r.close()
	go r.closeOnSignal()
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("case %s, disruption %t", name, trouble)
	code := run(r, trouble)
	r.say("exit code %d (0 the rule held, 1 it was broken, 2 the case could not run)", code)
	return code
}

// closeOnSignal ends all processes if the script is stopped.
func (r *rig) closeOnSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	<-stop
	r.close()
	os.Exit(failed)
}

// Command rig plays the cases of the review that are scripts: it starts fronts and sides as
// separate processes on loopback, with stand-ins for the store, the executors and the clients,
// and judges what these have seen.
//
//	rig CASE DIR
//
// The record goes to DIR/record.txt. The exit status is 1 if the rule was broken, 0 if it held
// and 2 if the case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// playLimit is the longest time that a case may take.
const playLimit = 115 * time.Second

// verdict is the result of a case: descriptions of the violations, none if the rule held.
type verdict []string

// cases are the cases by name: those of the folders, and more that the report describes.
var cases = map[string]func(w *world) (verdict, error){
	"reclaim":      reclaim,
	"large-job":    largeJob,
	"apart":        apart,
	"faulty-gang":  faultyGang,
	"foreign-ping": foreignPing,
	"moved-queue":  movedQueue,
	"late-stop":    lateStop,
	"rack-gang":    rackGang,
	"many-ends":    manyEnds,
	"headroom":     headroom,
	"lost-rack":    lostRack,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE DIR")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs one case and returns the exit status.
func play(name, dir string) int {
	rec, err := newRecorder(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	defer rec.close()
	w := &world{rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	w.gangs.size = func(string) int { return 0 }
	rec.logf("case=%s trouble=%t", name, w.trouble)
	// A case that hangs or is interrupted must not leave processes behind.
	abort := func() {
		w.close()
		os.Exit(exitNotRun)
	}
	watchdog := time.AfterFunc(playLimit, abort)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		abort()
	}()
	broken, err := cases[name](w)
	watchdog.Stop()
	w.close()
	if err != nil {
		rec.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "rig: could not run:", err)
		return exitNotRun
	}
	for i, v := range broken {
		rec.logf("BROKEN %s", v)
		if i < 5 {
			fmt.Println("BROKEN", v)
		}
	}
	if len(broken) > 0 {
		fmt.Printf("the rule was broken, %d times\n", len(broken))
		return exitBroken
	}
	rec.logf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

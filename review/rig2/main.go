package main

import (
	"fmt"
	"os"
	"runtime"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases are the scripted cases by name. A case returns its exit code.
var cases = map[string]func(r *record, trouble bool) (int, error){
	"link":      linkCase,
	"partly":    partlyFreeCase,
	"miss":      mayMissCase,
	"blamed":    blamedCase,
	"lasting":   lastingCase,
	"rack-gang": rackGangCase,
	"innocent":  innocentCase,
	"rack":      rackCase,
}

// main plays the case that the first argument names and writes the record to the second.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		os.Exit(notRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	runtime.LockOSThread() // the processes of a case end with the thread that started them
	code, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.note("the case could not run: %v", err)
		os.Exit(notRun)
	}
	r.note("exit %d", code)
	os.Exit(code)
}

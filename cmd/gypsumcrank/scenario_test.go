package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"gypsumcrank/internal/standin/prog"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"gypsumcrank": main,
		"standin":     prog.Main,
	})
}

// TestScenarios runs each script in testdata against real processes. The
// commands that the scripts add to testscript's own are in commands_test.go.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: commandTable(),
		Setup: func(env *testscript.Env) error {
			sc := newScenario(env)
			env.Values[scenarioKey{}] = sc
			env.Defer(func() {
				sc.close()
				keepLogs(env.T().(testing.TB), sc.dir)
			})
			return os.Setenv("GYPSUMCRANK_LOG_LEVEL", "info")
		},
	})
}

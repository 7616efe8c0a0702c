package main

import (
	"fmt"
	"os"

	"gypsumcrank/core/fault"
	"gypsumcrank/platform"
)

type settingsCmd struct {
	Check settingsCheckCmd `cmd:"" help:"Check a settings file of the platform."`
}

type settingsCheckCmd struct {
	File string `arg:"" help:"The file."`
}

// Run reads the file as a daemon would, and says what it would use.
func (c *settingsCheckCmd) Run() error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return fault.New(fault.Invalid, "name a settings file", "%v", err)
	}
	s, err := platform.ReadSettings(raw)
	if err != nil {
		return err
	}
	fmt.Printf("%+v\n", s)
	return nil
}

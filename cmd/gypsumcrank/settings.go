package main

import (
	"fmt"
	"os"

	"gypsumcrank/core/fault"
	"gypsumcrank/platform"
)

type settingsCmd struct {
	Check settingsCheckCmd `cmd:"" help:"Check a settings file of the platform and print the settings in it."`
}

type settingsCheckCmd struct {
	File string `arg:"" help:"Path of the settings file."`
}

// Run reads the file as a daemon does, and prints the resulting settings.
func (c *settingsCheckCmd) Run() error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return fault.New(fault.Invalid, "give the path of a readable settings file", "%v", err)
	}
	s, err := platform.ReadSettings(raw)
	if err != nil {
		return err
	}
	fmt.Printf("%+v\n", s)
	return nil
}

package main

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Each edit of the table fits the source as it is.
func TestEditsFitTheSource(t *testing.T) {
	for _, m := range mechanisms {
		t.Run(m.Name, func(t *testing.T) {
			for _, e := range m.Edits {
				qt.Check(t, e.fits("../.."), qt.IsNil)
			}
		})
	}
}

package main

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// mechanism is something that can be switched off by edits of the source.
type mechanism struct {
	Name    string
	Promise string // what it is needed for besides worth
	Edits   []edit
}

// edit replaces a text that stands once in a file.
type edit struct{ File, Old, New string }

// fits returns an error if the text does not stand once in the file.
func (e edit) fits(dir string) error {
	_, err := e.edited(dir)
	return err
}

// edited returns the source of the file with the edit.
func (e edit) edited(dir string) (string, error) {
	raw, err := os.ReadFile(filepath.Join(dir, e.File))
	if err != nil {
		return "", errors.Wrap(err, "read the source")
	}
	if n := strings.Count(string(raw), e.Old); n != 1 {
		return "", errors.Errorf("%s has %q %d times instead of once; adapt the table of mechanisms", e.File, e.Old, n)
	}
	return strings.Replace(string(raw), e.Old, e.New, 1), nil
}

func (e edit) apply(dir string) error {
	source, err := e.edited(dir)
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(filepath.Join(dir, e.File), []byte(source), 0o600), "write the source")
}

// returning makes a function, named by the line that begins its body, return at once.
func returning(file, signature, result string) edit {
	return edit{file, signature + " {\n", signature + " {\n\tif true {\n\t\treturn " + result + "\n\t}\n"}
}

// constant gives a constant another value.
func constant(file, old, changed string) edit { return edit{file, old, changed} }

package conf

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/spec"
)

// historyLength is the number of changes that a document keeps.
const historyLength = 64

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_.-]{0,62}$`)

// Edit is a change that an operator requests. An empty value removes the
// setting at the path.
type Edit struct {
	Path  string       `json:"path"`
	Value string       `json:"value"`
	By    string       `json:"by"`
	Nonce string       `json:"nonce"`
	At    clock.Millis `json:"at_ms"`
}

// Apply returns the document with the edit applied, at the next revision. It
// rejects an edit if the resulting tree is not valid as a whole. d is not
// modified.
func (d Document) Apply(e Edit) (Document, error) {
	root, err := toMap(d.Tree)
	if err != nil {
		return d, err
	}
	segments, err := splitPath(e.Path)
	if err != nil {
		return d, err
	}
	before := lookup(root, segments)
	if err := setValue(root, segments, e); err != nil {
		return d, err
	}
	tree, err := fromMap(root, e.Path)
	if err != nil {
		return d, err
	}
	if err := tree.Check(); err != nil {
		return d, err
	}
	next := Document{Revision: d.Revision + 1, Tree: tree}
	change := Change{Revision: next.Revision, Path: e.Path, Value: e.Value, Before: render(before), By: e.By, Nonce: e.Nonce, At: e.At}
	next.History = append(append([]Change(nil), d.History...), change)
	if extra := len(next.History) - historyLength; extra > 0 {
		next.History = next.History[extra:]
	}
	return next, nil
}

// Get returns the value at a path as JSON.
func (t Tree) Get(path string) (string, error) {
	root, err := toMap(t)
	if err != nil {
		return "", err
	}
	if path == "" || path == "/" {
		return render(root), nil
	}
	segments, err := splitPath(path)
	if err != nil {
		return "", err
	}
	v := lookup(root, segments)
	if v == nil {
		return "", fault.New(fault.NotFound, "list the settings with `gypsumcrank get /`", "no setting at %q", path)
	}
	return render(v), nil
}

// FindNonce reports whether an edit with the nonce was accepted, and as which
// revision. It sees only the changes that are still in the history.
func (d Document) FindNonce(nonce string) (int64, bool) {
	for _, c := range d.History {
		if c.Nonce == nonce {
			return c.Revision, true
		}
	}
	return 0, false
}

// LastChange returns the newest change in the history at, above or below a
// path.
func (d Document) LastChange(path string) (Change, bool) {
	path = strings.Trim(path, "/")
	for i := len(d.History) - 1; i >= 0; i-- {
		p := strings.Trim(d.History[i].Path, "/")
		if p == path || strings.HasPrefix(p, path+"/") || strings.HasPrefix(path, p+"/") {
			return d.History[i], true
		}
	}
	return Change{}, false
}

func splitPath(path string) ([]string, error) {
	path = strings.Trim(path, "/")
	if path == "" || len(path) > 512 {
		return nil, fault.New(fault.Invalid, "give a path such as teams/sales/accounts/acme/max_jobs", "path %q names no setting", path)
	}
	segments := strings.Split(path, "/")
	for _, s := range segments {
		if !namePattern.MatchString(s) {
			return nil, fault.New(fault.Invalid, "use lower-case letters, digits, '_', '-' and '.'", "path %q has a segment that is not a valid name: %q", path, s)
		}
	}
	return segments, nil
}

func toMap(t Tree) (map[string]any, error) {
	raw, err := json.Marshal(t)
	if err != nil {
		return nil, err
	}
	var m map[string]any
	return m, json.Unmarshal(raw, &m)
}

func fromMap(m map[string]any, path string) (Tree, error) {
	raw, err := json.Marshal(m)
	if err != nil {
		return Tree{}, err
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	var t Tree
	if err := dec.Decode(&t); err != nil {
		return Tree{}, fault.New(fault.Invalid, "see docs/OPERATIONS.md for the paths and their types", "%s: %s", path, strings.TrimPrefix(err.Error(), "json: "))
	}
	return t, nil
}

func lookup(m map[string]any, segments []string) any {
	var at any = m
	for _, s := range segments {
		inner, ok := at.(map[string]any)
		if !ok {
			return nil
		}
		at = inner[s]
	}
	return at
}

func setValue(m map[string]any, segments []string, e Edit) error {
	for _, s := range segments[:len(segments)-1] {
		inner, ok := m[s].(map[string]any)
		if !ok {
			if m[s] != nil {
				return fault.New(fault.Invalid, "set the parent value as a whole", "%s: %q is a value, not a subtree", e.Path, s)
			}
			inner = make(map[string]any)
			m[s] = inner
		}
		m = inner
	}
	last := segments[len(segments)-1]
	if e.Value == "" {
		delete(m, last)
		return nil
	}
	var v any
	if err := json.Unmarshal([]byte(e.Value), &v); err != nil {
		return fault.New(fault.Invalid, `write the value as JSON; text goes in quotes, as in '"urgent"'`, "%s: value is not JSON: %v", e.Path, err)
	}
	m[last] = v
	return nil
}

func render(v any) string {
	if v == nil {
		return ""
	}
	raw, _ := json.Marshal(v)
	return string(raw)
}

// Check returns an error if the tree is not valid as a whole.
func (t Tree) Check() error {
	if err := t.Fleet.check(); err != nil {
		return err
	}
	if err := t.checkNames(); err != nil {
		return err
	}
	for tn, team := range t.Teams {
		for an, a := range team.Accounts {
			if err := a.check(fmt.Sprintf("teams/%s/accounts/%s", tn, an)); err != nil {
				return err
			}
		}
		for sn, s := range team.Services {
			if err := s.check(fmt.Sprintf("teams/%s/services/%s", tn, sn)); err != nil {
				return err
			}
		}
	}
	return t.checkGuarantees()
}

func invalid(path, remedy, format string, args ...any) error {
	return fault.New(fault.Invalid, remedy, "%s: %s", path, fmt.Sprintf(format, args...))
}

func (f Fleet) check() error {
	if f.Workers < 0 || f.Workers > 10000 {
		return invalid("fleet/workers", "give 0 to 10000", "%d workers", f.Workers)
	}
	if f.Accelerators < 0 || f.Accelerators > spec.MaxWorkerAccel || f.Accelerators&(f.Accelerators-1) != 0 {
		return invalid("fleet/accelerators", "give a power of two up to 64", "%d accelerators per worker", f.Accelerators)
	}
	return nil
}

func (t Tree) checkNames() error {
	accounts, services := map[string]string{}, map[string]string{}
	hashes := map[string]string{}
	for _, tn := range sortedKeys(t.Teams) {
		if !namePattern.MatchString(tn) {
			return invalid("teams", "use lower-case letters, digits, '_', '-' and '.'", "%q is not a valid name", tn)
		}
		team := t.Teams[tn]
		for _, an := range sortedKeys(team.Accounts) {
			if other, ok := accounts[an]; ok || !namePattern.MatchString(an) {
				return invalid("teams/"+tn+"/accounts/"+an, "choose a name that no team uses", "client account name is malformed or taken by team %q", other)
			}
			accounts[an] = tn
			for _, h := range team.Accounts[an].TokenHashes {
				if other, ok := hashes[h]; ok {
					return invalid("teams/"+tn+"/accounts/"+an+"/token_hashes", "give each client account its own token", "token is already used by client account %s", other)
				}
				hashes[h] = an
			}
		}
		for _, sn := range sortedKeys(team.Services) {
			if other, ok := services[sn]; ok || !namePattern.MatchString(sn) {
				return invalid("teams/"+tn+"/services/"+sn, "choose a name that no team uses", "service name is malformed or taken by team %q", other)
			}
			services[sn] = tn
		}
	}
	return nil
}

func (a Account) check(path string) error {
	for _, b := range a.Guarantee {
		if b.Accelerators < 1 || b.Accelerators > spec.MaxWorkerAccel || b.Accelerators&(b.Accelerators-1) != 0 || b.Count < 1 || b.Count > 10000 {
			return invalid(path+"/guarantee", "give blocks of 1, 2, 4, 8 ... accelerators and a count from 1", "block of %d accelerators, %d times", b.Accelerators, b.Count)
		}
	}
	for _, h := range a.TokenHashes {
		if len(h) != 64 {
			return invalid(path+"/token_hashes", "use `gypsumcrank keys token` to make one", "a token hash has 64 hex digits")
		}
	}
	if a.MaxInFlight < 0 || a.MaxQueued < 0 || a.MaxJobs < 0 || a.MaxInFlight > 100000 || a.MaxQueued > 100000 || a.MaxJobs > 100000 {
		return invalid(path, "give 0 to 100000", "a limit is out of range")
	}
	return nil
}

func (s Service) check(path string) error {
	if s.Class != "" && s.Class != spec.Urgent && s.Class != spec.Normal && s.Class != spec.Batch {
		return invalid(path+"/class", "use urgent, normal or batch", "class %q is unknown", s.Class)
	}
	if s.Timeout < 0 || s.Timeout > clock.Hour {
		return invalid(path+"/timeout_ms", "give 1 to 3600000", "timeout is out of range")
	}
	return nil
}

// checkGuarantees checks the sum of all guarantees against the fleet. Checking
// the sum is sufficient: sizes of cells are powers of two, so cells whose sum
// does not exceed the fleet fit when placed by size class, largest first.
func (t Tree) checkGuarantees() error {
	total := 0
	for name, a := range t.Accounts() {
		for _, b := range a.Guarantee {
			if b.Accelerators > t.Fleet.Accelerators {
				return invalid("guarantee of "+name, "guarantee blocks that fit one worker", "a block of %d accelerators does not fit a worker of %d", b.Accelerators, t.Fleet.Accelerators)
			}
			total += b.Accelerators * b.Count
		}
	}
	if have := t.Fleet.Workers * t.Fleet.Accelerators; total > have {
		return invalid("guarantees", "lower a guarantee or raise fleet/workers", "guarantees together promise %d accelerators, the fleet has %d", total, have)
	}
	return nil
}

// Package conf is the operators' configuration: a tree of settings under
// paths, one subtree per team, with a revision that only grows.
//
// The whole tree is one document. One compare-and-swap accepts a change, so a
// check that spans client accounts, such as guarantees against capacity, holds
// for what is accepted and not just for what one operator saw.
package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/spec"
)

// Tree is the configuration.
type Tree struct {
	Fleet Fleet           `json:"fleet"`
	Teams map[string]Team `json:"teams,omitempty"`
	Drain map[string]bool `json:"drain,omitempty"`
}

// Fleet is the capacity that guarantees may be promised from.
type Fleet struct {
	Workers      int `json:"workers"`
	Accelerators int `json:"accelerators"`
}

// Team is one team's subtree.
type Team struct {
	Accounts map[string]Account `json:"accounts,omitempty"`
	Services map[string]Service `json:"services,omitempty"`
}

// Account is a client account: who it is, what it is guaranteed, its limits.
type Account struct {
	TokenHashes []string `json:"token_hashes,omitempty"`
	Guarantee   []Block  `json:"guarantee,omitempty"`
	MaxInFlight int      `json:"max_in_flight,omitempty"`
	MaxQueued   int      `json:"max_queued,omitempty"`
	MaxJobs     int      `json:"max_jobs,omitempty"`
}

// Block is some cells of adjacent accelerators.
type Block struct {
	Accelerators int `json:"accelerators"`
	Count        int `json:"count"`
}

// Service is what requests may name. Endpoints is the service name under which
// endpoints that run it announce themselves, if that is another.
type Service struct {
	Endpoints  string       `json:"endpoints,omitempty"`
	Idempotent bool         `json:"idempotent,omitempty"`
	Class      spec.Class   `json:"class,omitempty"`
	Timeout    clock.Millis `json:"timeout_ms,omitempty"`
}

// Defaults for settings that are left out.
const (
	DefaultMaxInFlight = 64
	DefaultMaxQueued   = 256
	DefaultMaxJobs     = 200
	DefaultTimeout     = 30 * clock.Second
)

// WithDefaults gives the account with its defaults filled in.
func (a Account) WithDefaults() Account {
	fill := func(v *int, def int) {
		if *v == 0 {
			*v = def
		}
	}
	fill(&a.MaxInFlight, DefaultMaxInFlight)
	fill(&a.MaxQueued, DefaultMaxQueued)
	fill(&a.MaxJobs, DefaultMaxJobs)
	return a
}

// TimeoutOrDefault gives the service's timeout, or the default.
func (s Service) TimeoutOrDefault() clock.Millis {
	if s.Timeout == 0 {
		return DefaultTimeout
	}
	return s.Timeout
}

// Change is one line of the history.
type Change struct {
	Revision int64        `json:"revision"`
	Path     string       `json:"path"`
	Value    string       `json:"value"`
	Before   string       `json:"before,omitempty"`
	By       string       `json:"by"`
	Nonce    string       `json:"nonce"`
	At       clock.Millis `json:"at_ms"`
}

// Document is the one value at the platform: tree, revision and history.
type Document struct {
	Revision int64    `json:"revision"`
	Tree     Tree     `json:"tree"`
	History  []Change `json:"history,omitempty"`
}

// HashToken gives the form in which a bearer token is kept.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// FindAccount gives the team and account that a bearer token belongs to.
func (t Tree) FindAccount(token string) (team, account string, ok bool) {
	hash := HashToken(token)
	for _, tn := range sortedKeys(t.Teams) {
		for _, an := range sortedKeys(t.Teams[tn].Accounts) {
			for _, h := range t.Teams[tn].Accounts[an].TokenHashes {
				if h == hash {
					return tn, an, true
				}
			}
		}
	}
	return "", "", false
}

// Accounts gives all client accounts by name; names are unique over teams.
func (t Tree) Accounts() map[string]Account {
	out := make(map[string]Account)
	for _, team := range t.Teams {
		for name, a := range team.Accounts {
			out[name] = a
		}
	}
	return out
}

// FindService gives a service by its name; names are unique over teams.
func (t Tree) FindService(name string) (team string, s Service, ok bool) {
	for _, tn := range sortedKeys(t.Teams) {
		if s, ok := t.Teams[tn].Services[name]; ok {
			return tn, s, true
		}
	}
	return "", Service{}, false
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

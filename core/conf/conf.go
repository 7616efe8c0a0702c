// Package conf is the operators' configuration: a tree of settings addressed by
// paths, with one subtree per team and a revision that only increases.
//
// The whole tree is stored as one document, and a change is accepted by one
// compare-and-swap. So a check that spans client accounts, such as guarantees
// against capacity, holds for the accepted tree and not just for what one
// operator saw.
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

// Fleet is the capacity that guarantees are checked against.
type Fleet struct {
	Workers      int `json:"workers"`
	Accelerators int `json:"accelerators"`
}

// Team is one team's subtree.
type Team struct {
	Accounts map[string]Account `json:"accounts,omitempty"`
	Services map[string]Service `json:"services,omitempty"`
}

// Account is a client account: its tokens, its guarantee and its limits.
type Account struct {
	TokenHashes []string `json:"token_hashes,omitempty"`
	Guarantee   []Block  `json:"guarantee,omitempty"`
	MaxInFlight int      `json:"max_in_flight,omitempty"`
	MaxQueued   int      `json:"max_queued,omitempty"`
	MaxJobs     int      `json:"max_jobs,omitempty"`
}

// Block is a number of cells with the same number of adjacent accelerators.
type Block struct {
	Accelerators int `json:"accelerators"`
	Count        int `json:"count"`
}

// Service is a service that requests can name. Endpoints is the service name
// that its endpoints announce, if it is a different one.
type Service struct {
	Endpoints  string       `json:"endpoints,omitempty"`
	Idempotent bool         `json:"idempotent,omitempty"`
	Class      spec.Class   `json:"class,omitempty"`
	Timeout    clock.Millis `json:"timeout_ms,omitempty"`
}

// Defaults of settings that are not given.
const (
	DefaultMaxInFlight = 64
	DefaultMaxQueued   = 256
	DefaultMaxJobs     = 200
	DefaultTimeout     = 30 * clock.Second
)

// WithDefaults returns the account with the defaults of limits that are not
// set.
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

// TimeoutOrDefault returns the service's timeout, or DefaultTimeout if it is
// not set.
func (s Service) TimeoutOrDefault() clock.Millis {
	if s.Timeout == 0 {
		return DefaultTimeout
	}
	return s.Timeout
}

// Change is an accepted edit in the history.
type Change struct {
	Revision int64        `json:"revision"`
	Path     string       `json:"path"`
	Value    string       `json:"value"`
	Before   string       `json:"before,omitempty"`
	By       string       `json:"by"`
	Nonce    string       `json:"nonce"`
	At       clock.Millis `json:"at_ms"`
}

// Document is the value stored at the platform: revision, tree and history.
type Document struct {
	Revision int64    `json:"revision"`
	Tree     Tree     `json:"tree"`
	History  []Change `json:"history,omitempty"`
}

// HashToken returns the form in which a bearer token is stored: its SHA-256 in
// hex.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// FindAccount returns the team and account that a bearer token belongs to.
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

// Accounts returns all client accounts by name. Names are unique across teams.
func (t Tree) Accounts() map[string]Account {
	out := make(map[string]Account)
	for _, team := range t.Teams {
		for name, a := range team.Accounts {
			out[name] = a
		}
	}
	return out
}

// FindService returns a service by its name. Names are unique across teams.
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

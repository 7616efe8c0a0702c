// Package certs makes and reads the keys by which the system's processes know
// each other. Every process has a certificate of the system's own authority,
// with its role in it; no other certificate is let in.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gypsumcrank/core/fault"
)

// Role is what a process is; it stands in its certificate.
type Role string

// The roles.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// Protocol is the name that both ends of a connection agree on.
const Protocol = "gypsumcrank/1"

// serverName is the one name in every certificate: hosts come and go, so it is
// the authority and the role that count.
const serverName = "gypsumcrank"

// Bundle is a certificate with its key and the authority's certificate, as PEM.
type Bundle struct {
	CA, Cert, Key []byte
}

// Authority signs certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// NewAuthority makes an authority that lasts for the span.
func NewAuthority(last time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make authority key")
	}
	template := template("gypsumcrank authority", last)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign authority")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{cert: cert, key: key, pem: encode("CERTIFICATE", der)}, nil
}

func template(name string, last time.Duration) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(last),
	}
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// Issue makes a key and a certificate for a role.
func (a *Authority) Issue(role Role, last time.Duration) (Bundle, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Bundle{}, errors.Wrap(err, "make key")
	}
	t := template(string(role), last)
	t.Subject.OrganizationalUnit = []string{string(role)}
	t.DNSNames = []string{serverName}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Bundle{}, errors.Wrap(err, "sign certificate")
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Bundle{}, err
	}
	return Bundle{CA: a.pem, Cert: encode("CERTIFICATE", der), Key: encode("EC PRIVATE KEY", raw)}, nil
}

// TLS gives the settings for mutual authentication. Each new connection reads
// the bundle through load, so that renewed keys need no restart.
func TLS(load func() (Bundle, error)) (*tls.Config, error) {
	b, err := load()
	if err != nil {
		return nil, err
	}
	if _, err := tls.X509KeyPair(b.Cert, b.Key); err != nil {
		return nil, fault.New(fault.Invalid, "make keys with `gypsumcrank keys init`", "certificate and key do not fit: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b.CA) {
		return nil, fault.New(fault.Invalid, "make keys with `gypsumcrank keys init`", "the authority's certificate can't be read")
	}
	current := func() (*tls.Certificate, error) {
		b, err := load()
		if err != nil {
			return nil, err
		}
		pair, err := tls.X509KeyPair(b.Cert, b.Key)
		return &pair, err
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		NextProtos:           []string{Protocol},
		ServerName:           serverName,
		RootCAs:              pool,
		ClientCAs:            pool,
		ClientAuth:           tls.RequireAndVerifyClientCert,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return current() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return current() },
	}, nil
}

// RoleOf reads the role in a peer's certificate.
func RoleOf(state tls.ConnectionState) Role {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	units := state.PeerCertificates[0].Subject.OrganizationalUnit
	if len(units) == 0 {
		return ""
	}
	return Role(units[0])
}

// Source says where a process finds its bundle: each field is PEM text, or the
// path of a file that holds it.
type Source struct {
	CA, Cert, Key string
}

// Load reads the bundle.
func (s Source) Load() (Bundle, error) {
	var b Bundle
	var err error
	read := func(from, name string) []byte {
		if err != nil || strings.HasPrefix(strings.TrimSpace(from), "-----BEGIN") {
			return []byte(from)
		}
		raw, readErr := os.ReadFile(from)
		if readErr != nil {
			err = fault.New(fault.Invalid, "give PEM text or the path of a PEM file; `gypsumcrank keys init` makes both", "--%s can't be read: %v", name, readErr)
		}
		return raw
	}
	b.CA = read(s.CA, "tls-ca")
	b.Cert = read(s.Cert, "tls-cert")
	b.Key = read(s.Key, "tls-key")
	return b, err
}

// WriteDir makes an authority and a bundle for each role, as PEM files in dir.
func WriteDir(dir string, last time.Duration) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "make folder for keys")
	}
	authority, err := NewAuthority(last)
	if err != nil {
		return err
	}
	write := func(name string, raw []byte) {
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, name), raw, 0o600)
		}
	}
	write("ca.pem", authority.pem)
	for _, role := range []Role{Entry, Agent} {
		b, issueErr := authority.Issue(role, last)
		if issueErr != nil {
			return issueErr
		}
		write(string(role)+".pem", b.Cert)
		write(string(role)+"-key.pem", b.Key)
	}
	return errors.Wrap(err, "write keys")
}

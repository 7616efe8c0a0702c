// Package certs creates and loads the keys and certificates with which the
// system's processes authenticate each other. Every process has a certificate
// that names its role and is signed by the system's own certificate authority;
// no other certificate is accepted.
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

// Role is the role of a process, as named in its certificate.
type Role string

// The roles.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// Protocol is the ALPN protocol name of the system's connections.
const Protocol = "gypsumcrank/1"

// serverName is the only DNS name in every certificate. Hosts come and go, so
// peers are verified by authority and role, not by host name.
const serverName = "gypsumcrank"

// Bundle is a certificate with its key and the authority's certificate, as PEM.
type Bundle struct {
	CA, Cert, Key []byte
}

// Authority is a certificate authority.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// NewAuthority creates an authority with a self-signed certificate that is
// valid for the given time.
func NewAuthority(validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key of certificate authority")
	}
	t := template("gypsumcrank authority", validity)
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign certificate of certificate authority")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{cert: cert, key: key, pem: encode("CERTIFICATE", der)}, nil
}

func template(name string, validity time.Duration) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(validity),
	}
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// Issue generates a key and signs a certificate for it with the role.
func (a *Authority) Issue(role Role, validity time.Duration) (Bundle, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Bundle{}, errors.Wrap(err, "generate key")
	}
	t := template(string(role), validity)
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

// TLS returns the settings for mutual authentication. Each new connection reads
// the certificate and key through load, so that renewing them needs no restart.
func TLS(load func() (Bundle, error)) (*tls.Config, error) {
	b, err := load()
	if err != nil {
		return nil, err
	}
	if _, err := tls.X509KeyPair(b.Cert, b.Key); err != nil {
		return nil, fault.New(fault.Invalid, "create matching files with `gypsumcrank keys init`", "certificate and key can't be used together: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b.CA) {
		return nil, fault.New(fault.Invalid, "create a certificate with `gypsumcrank keys init`", "no certificate authority found in the PEM text of --tls-ca")
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

// RoleOf returns the role in a peer's certificate, or "" if there is none.
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

// Source says where to load a Bundle from: each field is PEM text or the path of
// a PEM file.
type Source struct {
	CA, Cert, Key string
}

// Load reads the bundle from its source.
func (s Source) Load() (Bundle, error) {
	var b Bundle
	var err error
	read := func(source, name string) []byte {
		if err != nil || strings.HasPrefix(strings.TrimSpace(source), "-----BEGIN") {
			return []byte(source)
		}
		raw, readErr := os.ReadFile(source)
		if readErr != nil {
			err = fault.New(fault.Invalid, "give PEM text or the path of a PEM file; `gypsumcrank keys init` creates the files", "--%s can't be read: %v", name, readErr)
		}
		return raw
	}
	b.CA = read(s.CA, "tls-ca")
	b.Cert = read(s.Cert, "tls-cert")
	b.Key = read(s.Key, "tls-key")
	return b, err
}

// WriteDir creates an authority and a bundle for each role and writes them to dir
// as PEM files.
func WriteDir(dir string, validity time.Duration) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "create directory for keys")
	}
	authority, err := NewAuthority(validity)
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
		b, issueErr := authority.Issue(role, validity)
		if issueErr != nil {
			return issueErr
		}
		write(string(role)+".pem", b.Cert)
		write(string(role)+"-key.pem", b.Key)
	}
	return errors.Wrap(err, "write keys")
}

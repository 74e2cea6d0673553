// SPDX-License-Identifier: MIT

// Package keys loads the certificates of an instance and names who calls.
//
// Certificates are read again when their files change, without a restart. The
// organizational unit of a certificate is its role: "instance", "operator"
// (may change) or "reader" (may read).
package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
)

// The roles that a certificate's organizational unit names.
const (
	RoleInstance = "instance"
	RoleOperator = "operator"
	RoleReader   = "reader"
)

// recheck is how often the files are looked at.
const recheck = time.Second

// Files is a certificate, its key and the authority that signs all others.
type Files struct {
	// CA, Cert and Key are paths of PEM files.
	CA, Cert, Key string

	mu      sync.Mutex
	checked time.Time
	changed time.Time
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// LoadError says which file cannot be used.
type LoadError struct {
	// Path is the file.
	Path string
	// Cause tells what is wrong.
	Cause error
}

// Error describes the file and the cause.
func (e *LoadError) Error() string { return "keys: " + e.Path + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LoadError) Unwrap() error { return e.Cause }

// Load reads the files for the first time.
func (f *Files) Load() error {
	_, _, err := f.current()
	return err
}

// current returns the newest pair that loads; files that fail to load later
// leave the earlier ones in use.
func (f *Files) current() (*tls.Certificate, *x509.CertPool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.cert != nil && now.Sub(f.checked) < recheck {
		return f.cert, f.pool, nil
	}
	f.checked = now
	changed, err := newest(f.CA, f.Cert, f.Key)
	if err == nil && (f.cert == nil || changed.After(f.changed)) {
		err = f.read()
		f.changed = changed
	}
	if f.cert == nil {
		return nil, nil, err
	}
	return f.cert, f.pool, nil
}

func (f *Files) read() error {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return &LoadError{Path: f.Cert, Cause: err}
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return &LoadError{Path: f.CA, Cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return &LoadError{Path: f.CA, Cause: errors.New("holds no certificate")}
	}
	f.cert = &cert
	f.pool = pool
	return nil
}

func newest(paths ...string) (time.Time, error) {
	var at time.Time
	for _, p := range paths {
		info, err := os.Stat(p)
		if err != nil {
			return at, &LoadError{Path: p, Cause: err}
		}
		if info.ModTime().After(at) {
			at = info.ModTime()
		}
	}
	return at, nil
}

// Server returns credentials that ask each caller for a certificate.
func (f *Files) Server() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool, err := f.current()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				ClientCAs:    pool,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				NextProtos:   []string{"h2"},
			}, nil
		},
	})
}

// Client returns credentials that verify the other side against the authority;
// instances are reached by address, so that the name is checked by role.
func (f *Files) Client() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _, err := f.current()
			return cert, err
		},
		// The chain is verified below; only the host name is not, as
		// certificates name instances and peers are reached by IP number.
		InsecureSkipVerify: true,
		VerifyConnection:   f.verify,
	})
}

func (f *Files) verify(s tls.ConnectionState) error {
	_, pool, err := f.current()
	if err != nil {
		return err
	}
	opts := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool()}
	for _, c := range s.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	if _, err := s.PeerCertificates[0].Verify(opts); err != nil {
		return err
	}
	if role(s.PeerCertificates[0]) != RoleInstance {
		return errors.New("keys: the other side is no instance")
	}
	return nil
}

func role(c *x509.Certificate) string {
	if len(c.Subject.OrganizationalUnit) == 0 {
		return ""
	}
	return c.Subject.OrganizationalUnit[0]
}

// Who returns the name and role of the certificate behind a call; both are
// empty without TLS.
func Who(ctx context.Context) (name, unit string) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return "", ""
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return "", ""
	}
	c := info.State.PeerCertificates[0]
	return c.Subject.CommonName, role(c)
}

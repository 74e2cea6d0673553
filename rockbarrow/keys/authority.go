// SPDX-License-Identifier: MIT

package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/durable"
)

// caName is the file name of an authority, without its ending.
const caName = "ca"

// Authority is a certificate authority for development, in a folder.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority makes an authority and writes it to a folder.
func NewAuthority(dir string, life time.Duration) (*Authority, error) {
	if err := durable.MakeDir(dir); err != nil {
		return nil, errors.Wrap(err, "keys: folder")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "keys: key")
	}
	t := template("rockbarrow development authority", "", life)
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "keys: certificate")
	}
	a := &Authority{dir: dir, key: key}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		return nil, errors.Wrap(err, "keys: certificate")
	}
	return a, write(dir, caName, der, key)
}

// OpenAuthority reads an authority that [NewAuthority] wrote.
func OpenAuthority(dir string) (*Authority, error) {
	certPEM, err := os.ReadFile(filepath.Join(dir, caName+".pem"))
	if err != nil {
		return nil, errors.Wrap(err, "keys: authority")
	}
	keyPEM, err := os.ReadFile(filepath.Join(dir, caName+".key"))
	if err != nil {
		return nil, errors.Wrap(err, "keys: authority")
	}
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return nil, &LoadError{Path: dir, Cause: errors.New("holds no authority")}
	}
	a := &Authority{dir: dir}
	if a.cert, err = x509.ParseCertificate(certBlock.Bytes); err != nil {
		return nil, errors.Wrap(err, "keys: authority")
	}
	if a.key, err = x509.ParseECPrivateKey(keyBlock.Bytes); err != nil {
		return nil, errors.Wrap(err, "keys: authority")
	}
	return a, nil
}

// Issue writes a certificate and its key for a name and a role, and returns the
// files to use with them.
func (a *Authority) Issue(name, role string, life time.Duration) (*Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "keys: key")
	}
	t := template(name, role, life)
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return nil, errors.Wrap(err, "keys: certificate")
	}
	if err := write(a.dir, name, der, key); err != nil {
		return nil, err
	}
	return &Files{
		CA:   filepath.Join(a.dir, caName+".pem"),
		Cert: filepath.Join(a.dir, name+".pem"),
		Key:  filepath.Join(a.dir, name+".key"),
	}, nil
}

func template(name, role string, life time.Duration) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		serial = big.NewInt(time.Now().UnixNano())
	}
	subject := pkix.Name{CommonName: name}
	if role != "" {
		subject.OrganizationalUnit = []string{role}
	}
	const skew = time.Hour
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      subject,
		NotBefore:    time.Now().Add(-skew),
		NotAfter:     time.Now().Add(life),
	}
}

func write(dir, name string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "keys: key")
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	if err := durable.WriteFile(filepath.Join(dir, name+".pem"), certPEM, 0o644); err != nil {
		return errors.Wrap(err, "keys: write")
	}
	return errors.Wrap(durable.WriteFile(filepath.Join(dir, name+".key"), keyPEM, 0o600), "keys: write")
}

package transport

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"
)

// TLSFiles names the PEM files of one side of a connection. The zero value
// means plain TCP.
type TLSFiles struct {
	Cert string
	Key  string
	// CA verifies the other side.
	CA string
}

// Validate returns the problems of a combination of files.
func (f TLSFiles) Validate() []string {
	var problems []string
	if (f.Cert == "") != (f.Key == "") {
		problems = append(problems, "a TLS certificate and its key must be given together")
	}
	return problems
}

// certificate is a key pair that is reloaded when the certificate file changes.
type certificate struct {
	files TLSFiles
	mu    sync.Mutex
	mtime time.Time
	pair  *tls.Certificate
}

func (c *certificate) get() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := os.Stat(c.files.Cert)
	if err != nil {
		return c.keep(err)
	}
	if c.pair != nil && info.ModTime().Equal(c.mtime) {
		return c.pair, nil
	}
	pair, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
	if err != nil {
		return c.keep(err)
	}
	c.pair, c.mtime = &pair, info.ModTime()
	return c.pair, nil
}

// keep returns the current pair, if there is one, instead of an error: the files
// may be in the middle of being replaced.
func (c *certificate) keep(err error) (*tls.Certificate, error) {
	if c.pair != nil {
		return c.pair, nil
	}
	return nil, Error.Wrap(err)
}

// loadPool reads the CA certificates of a PEM file.
func loadPool(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, Error.New("%s holds no PEM certificate", file)
	}
	return pool, nil
}

// ServerTLS returns the TLS configuration of a listener, or nil for plain TCP. With
// a CA, clients must present a certificate signed by it. The certificate is
// reloaded when its file changes.
func ServerTLS(f TLSFiles) (*tls.Config, error) {
	if f.Cert == "" {
		return nil, nil
	}
	cert := &certificate{files: f}
	if _, err := cert.get(); err != nil {
		return nil, err
	}
	cfg := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return cert.get() },
	}
	if f.CA == "" {
		return cfg, nil
	}
	pool, err := loadPool(f.CA)
	if err != nil {
		return nil, err
	}
	cfg.ClientCAs = pool
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	return cfg, nil
}

// ClientTLS returns the TLS configuration of outgoing connections, or nil for plain
// TCP.
func ClientTLS(f TLSFiles) (*tls.Config, error) {
	if f.CA == "" {
		return nil, nil
	}
	pool, err := loadPool(f.CA)
	if err != nil {
		return nil, err
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	if f.Cert == "" {
		return cfg, nil
	}
	cert := &certificate{files: f}
	if _, err := cert.get(); err != nil {
		return nil, err
	}
	cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return cert.get() }
	return cfg, nil
}

package transport

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// authority is a CA that issues certificates for 127.0.0.1.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
	next int64
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	a.key = a.newKey()
	template := &x509.Certificate{SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	a.cert = a.sign(template, template, &a.key.PublicKey)
	a.write("ca.pem", "CERTIFICATE", a.cert.Raw)
	return a
}

func (a *authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	return key
}

func (a *authority) sign(template, parent *x509.Certificate, public *ecdsa.PublicKey) *x509.Certificate {
	template.NotBefore = time.Now().Add(-time.Hour)
	template.NotAfter = time.Now().Add(time.Hour)
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return cert
}

func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// issue writes a certificate and its key to files under a name. A second call
// replaces them.
func (a *authority) issue(name string) TLSFiles {
	key := a.newKey()
	a.next++
	cert := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(100 + a.next), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, &key.PublicKey)
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	files := TLSFiles{CA: filepath.Join(a.dir, "ca.pem")}
	files.Key = a.write(name+".key", "EC PRIVATE KEY", der)
	files.Cert = a.write(name+".pem", "CERTIFICATE", cert.Raw)
	return files
}

// Guards against an internal listener that accepts envelopes from a process without
// a certificate of its CA, and against a server that keeps using a certificate
// after its file was replaced.
func TestMutualTLS(t *testing.T) {
	ca := newAuthority(t)
	serverFiles := ca.issue("server")
	serverTLS, err := ServerTLS(serverFiles)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := tls.Listen("tcp", "127.0.0.1:0", serverTLS)
	if err != nil {
		t.Fatal(err)
	}
	stepped := make(chan proto.Envelope, 8)
	server := &http.Server{Handler: NewInbound(proto.AgentAddr("e1"), NewMetrics(metrics.NewSet()), func(env proto.Envelope) bool {
		stepped <- env
		return true
	})}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	addr := listener.Addr().String()
	post := func(files TLSFiles) error {
		config, err := ClientTLS(files)
		if err != nil {
			t.Fatal(err)
		}
		return NewClient(config).PostEnvelope(context.Background(), addr, cancelMessage, func(proto.Envelope) {})
	}
	client := ca.issue("client")
	if err := post(client); err != nil {
		t.Errorf("with a certificate: %v", err)
	}
	if err := post(TLSFiles{CA: client.CA}); err == nil {
		t.Error("a process without a certificate was accepted")
	}
	if err := post(newAuthority(t).issue("stranger")); err == nil {
		t.Error("a certificate of another authority was accepted")
	}
	if len(stepped) != 1 {
		t.Errorf("%d envelopes reached the machine, want 1", len(stepped))
	}
	serial := func() string {
		config, err := ClientTLS(client)
		if err != nil {
			t.Fatal(err)
		}
		conn, err := tls.Dial("tcp", addr, config)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.String()
	}
	before := serial()
	ca.issue("server")
	later := time.Now().Add(time.Second)
	if err := os.Chtimes(serverFiles.Cert, later, later); err != nil {
		t.Fatal(err)
	}
	if after := serial(); after == before {
		t.Errorf("the certificate with serial %s is still in use", before)
	}
}

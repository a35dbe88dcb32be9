package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/app/api"
	"github.com/kumquatsill/kumquatsill/app/node"
	"github.com/kumquatsill/kumquatsill/app/settings"
	"github.com/kumquatsill/kumquatsill/app/transport"
)

// writeCertificate writes a self-signed certificate that is its own CA, and its
// key.
func writeCertificate(t *testing.T) transport.TLSFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	files := transport.TLSFiles{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	files.CA = files.Cert
	for name, block := range map[string]*pem.Block{files.Cert: {Type: "CERTIFICATE", Bytes: cert}, files.Key: {Type: "PRIVATE KEY", Bytes: der}} {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// Guards against an internal listener that serves operators without a valid
// client certificate, and against a router without the log whose empty state is
// reported as the state of the fleet.
func TestMutualTLSAndRouterWithoutLog(t *testing.T) {
	files := writeCertificate(t)
	cfg := node.RouterConfig{LogAddr: unreachableAddr, Limits: api.DefaultLimits(), Log: slog.New(slog.DiscardHandler)}
	var err error
	if cfg.Callers, err = node.Listen("127.0.0.1:0", transport.TLSFiles{}); err != nil {
		t.Fatal(err)
	}
	if cfg.Internal, err = node.Listen("127.0.0.1:0", files); err != nil {
		t.Fatal(err)
	}
	cfg.InitMachine("r", "d", node.LogRetention{})
	r, err := node.NewRouter(cfg)
	if err != nil {
		t.Fatal(err)
	}
	r.Start()
	t.Cleanup(func() {
		if err := r.Kill(); err != nil {
			t.Error(err)
		}
	})
	with := func(f transport.TLSFiles, args ...string) result {
		args = append(args, "--router", cfg.Internal.Addr().String())
		return runCLI("", append(args, "--internal-tls.cert", f.Cert, "--internal-tls.key", f.Key, "--internal-tls.ca", f.CA)...)
	}
	untrusted := writeCertificate(t)
	untrusted.CA = files.CA
	with(untrusted, "status").want(t, settings.ExitUnreachable)
	runCLI("", "status", "--router", cfg.Internal.Addr().String()).want(t, settings.ExitRefused)
	with(files, "status").want(t, settings.ExitOK, "warning", "has not read the whole log")
	with(files, "note", "show").want(t, settings.ExitUnreachable)
	with(files, "note", "status", "x").want(t, settings.ExitUnreachable, "unknown")
	with(files, "explain", "x", "--timeout", "1s").want(t, settings.ExitUnreachable)
}

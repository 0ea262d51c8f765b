package system_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/dev"
	"magnoliahoist/operator"
)

// authority issues certificates for 127.0.0.1.
type authority struct {
	t    *testing.T
	dir  string
	name string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, name string) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir(), name: name}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	a.key = a.newKey()
	a.cert = a.sign(template, template, a.key)
	a.writePEM("ca.pem", "CERTIFICATE", a.cert.Raw)
	return a
}

func (a *authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(a.t, err, qt.IsNil)
	return key
}

func (a *authority) sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey) *x509.Certificate {
	data, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, a.key)
	qt.Assert(a.t, err, qt.IsNil)
	cert, err := x509.ParseCertificate(data)
	qt.Assert(a.t, err, qt.IsNil)
	return cert
}

func (a *authority) writePEM(name, kind string, data []byte) {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	qt.Assert(a.t, os.WriteFile(filepath.Join(a.dir, name), text, 0o600), qt.IsNil)
}

func (a *authority) path(name string) string { return filepath.Join(a.dir, name) }

// issueCert writes a certificate and its key, and returns the settings that name them.
func (a *authority) issueCert(name string) map[string]string {
	key := a.newKey()
	cert := a.sign(&x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		NotBefore:   time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}, a.cert, key)
	data, err := x509.MarshalPKCS8PrivateKey(key)
	qt.Assert(a.t, err, qt.IsNil)
	a.writePEM(name+".pem", "CERTIFICATE", cert.Raw)
	a.writePEM(name+".key", "PRIVATE KEY", data)
	return map[string]string{"cert": a.path(name + ".pem"), "key": a.path(name + ".key")}
}

// certPool returns a certificate pool with the authority as its only root.
func (a *authority) certPool() *x509.CertPool {
	roots := x509.NewCertPool()
	roots.AddCert(a.cert)
	return roots
}

// Guards against listeners that accept plaintext or untrusted clients, and against hosts that cannot
// communicate when certificates replace the shared secret.
func TestTLS(t *testing.T) {
	c := qt.New(t)
	trustedCA, untrustedCA := newAuthority(t, "ours"), newAuthority(t, "rogue")
	platform := map[string]string{}
	for _, kind := range []string{"table", "objects", "hosts"} {
		platform[kind] = startStandin(t, kind, kind, dev.Options{}).address()
	}
	peers := trustedCA.issueCert("peer")
	peers["ca"] = trustedCA.path("ca.pem")
	var hosts []*testProcess
	for _, domain := range domains[:2] {
		hosts = append(hosts, startHost(t, domain, hostSettings{
			"domain": domain, "platform": platform, "credential": testCredential, "lag": "0s",
			"listen": map[string]string{"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"},
			"tls":    map[string]any{"callers": trustedCA.issueCert("callers"), "operators": trustedCA.issueCert("operators"), "peers": peers},
		}))
	}
	cli := &operatorCLI{t, "https://" + hosts[0].word("operators"), t.TempDir()}
	f := &fleet{t: t}
	f.eventually("hosts list each other as members", func() bool {
		status, out, _ := cli.run("--ca", trustedCA.path("ca.pem"), "-o", "json", "status")
		var parsed operator.Status
		return status == 0 && json.Unmarshal([]byte(out), &parsed) == nil && len(parsed.Members) == 2
	})
	status, _, errs := cli.run("--ca", untrustedCA.path("ca.pem"), "status")
	c.Check(status, qt.Equals, 1)
	c.Check(errs, qt.Contains, "certificate")

	// An edit is accepted once both hosts have applied it, which needs communication between them.
	pools := cli.writeFile("pools.json", `{"pools": [{"name": "p", "kind": "service", "endpoints": [{"name": "e", "address": "127.0.0.1:1", "domain": "d", "slots": 1}]}]}`)
	c.Check(cli.mustRun("--ca", trustedCA.path("ca.pem"), "apply", "--pools", pools), qt.Contains, "accepted, applied by 2 of 2")

	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: trustedCA.certPool()}}}
	response, err := client.Get("https://" + hosts[1].word("callers") + "/v1/models")
	c.Assert(err, qt.IsNil)
	response.Body.Close()
	c.Check(response.StatusCode, qt.Equals, http.StatusOK)
	for _, listener := range []string{"callers", "operators", "peers"} {
		response, err := http.Get("http://" + hosts[0].word(listener) + "/health")
		c.Assert(err, qt.IsNil)
		response.Body.Close()
		c.Check(response.StatusCode, qt.Equals, http.StatusBadRequest, qt.Commentf("plaintext request to listener %s", listener))
	}
	trustedCert, rogueCert := trustedCA.issueCert("stranger"), untrustedCA.issueCert("rogue")
	c.Check(handshake(c, hosts[0].word("peers"), trustedCA.certPool(), trustedCert), qt.IsNil)
	c.Check(handshake(c, hosts[0].word("peers"), trustedCA.certPool(), rogueCert), qt.IsNotNil)
	c.Check(handshake(c, hosts[0].word("peers"), trustedCA.certPool(), nil), qt.IsNotNil)
	for _, h := range hosts {
		c.Check(strings.Contains(h.Log(), "[ERROR]"), qt.IsFalse)
	}
}

// handshake connects with the client certificate in files, or without one if files is nil, and returns the error if the listener rejects it.
func handshake(c *qt.C, address string, roots *x509.CertPool, files map[string]string) error {
	config := &tls.Config{RootCAs: roots}
	if files != nil {
		pair, err := tls.LoadX509KeyPair(files["cert"], files["key"])
		c.Assert(err, qt.IsNil)
		config.Certificates = []tls.Certificate{pair}
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+address+"/", nil)
	c.Assert(err, qt.IsNil)
	response, err := client.Do(request)
	if err == nil {
		response.Body.Close()
	}
	return err
}

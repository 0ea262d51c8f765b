package host

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/config"
)

// listener is one HTTP server of the host.
type listener struct {
	name   string
	server *http.Server
	net    net.Listener
}

// listen opens a listener; an address with port 0 gets a free port.
func (h *Host) listen(name, address string, files config.Files, handler http.Handler) (*listener, error) {
	secure, err := serverTLS(files)
	if err != nil {
		return nil, err
	}
	opened, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "host: unable to listen for %s", name)
	}
	server := &http.Server{
		Handler:           handler,
		TLSConfig:         secure,
		ReadHeaderTimeout: time.Duration(h.settings.Limits.Read),
		IdleTimeout:       time.Duration(h.settings.Limits.Idle),
		MaxHeaderBytes:    h.settings.Limits.Header,
		ErrorLog:          h.log.StandardLogger(nil),
	}
	return &listener{name: name, server: server, net: opened}, nil
}

// serve runs a listener until it is closed.
func (h *Host) serve(l *listener) {
	h.tomb.Go(func() error {
		var err error
		if l.server.TLSConfig != nil {
			err = l.server.ServeTLS(l.net, "", "")
		} else {
			err = l.server.Serve(l.net)
		}
		if err == http.ErrServerClosed {
			return nil
		}
		return errors.Annotatef(err, "host: unable to serve %s", l.name)
	})
}

func (l *listener) address() string { return l.net.Addr().String() }

// shutdown closes a listener after its running requests have ended.
func (l *listener) shutdown(ctx context.Context) error {
	if err := l.server.Shutdown(ctx); err != nil {
		return errors.Annotatef(err, "host: unable to finish the requests of %s", l.name)
	}
	return nil
}

// serverTLS returns nil when no certificate is set.
func serverTLS(files config.Files) (*tls.Config, error) {
	if !files.Used() {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, errors.Annotate(err, "host: unable to load the certificate")
	}
	secure := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}}
	if files.CA == "" {
		return secure, nil
	}
	if secure.ClientCAs, err = authorities(files.CA); err != nil {
		return nil, err
	}
	secure.ClientAuth = tls.RequireAndVerifyClientCert
	return secure, nil
}

// clientTLS returns what the host presents to other hosts; nil when no certificate is set.
func clientTLS(files config.Files) (*tls.Config, error) {
	if !files.Used() {
		return nil, nil
	}
	secure, err := serverTLS(files)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: secure.Certificates, RootCAs: secure.ClientCAs}, nil
}

func authorities(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Annotate(err, "host: unable to read the authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("host: unable to use authorities in %s", file)
	}
	return pool, nil
}

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

// listener is one HTTP server of the host and the listener on which it serves.
type listener struct {
	name        string
	server      *http.Server
	netListener net.Listener
}

// listen opens a listener without serving on it yet; name says whom it serves. Port 0 in the address selects a free port.
func (h *Host) listen(name, address string, files config.TLSFiles, handler http.Handler) (*listener, error) {
	tlsConfig, err := serverTLS(files)
	if err != nil {
		return nil, err
	}
	netListener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "host: unable to listen for %s", name)
	}
	server := &http.Server{
		Handler:           handler,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: time.Duration(h.settings.Limits.ReadTimeout),
		IdleTimeout:       time.Duration(h.settings.Limits.IdleTimeout),
		MaxHeaderBytes:    h.settings.Limits.MaxHeaderBytes,
		ErrorLog:          h.log.StandardLogger(nil),
	}
	return &listener{name: name, server: server, netListener: netListener}, nil
}

// serve serves requests in a goroutine until the listener is closed. Any other error ends the host.
func (h *Host) serve(l *listener) {
	h.tomb.Go(func() error {
		var err error
		if l.server.TLSConfig != nil {
			err = l.server.ServeTLS(l.netListener, "", "")
		} else {
			err = l.server.Serve(l.netListener)
		}
		if err == http.ErrServerClosed {
			return nil
		}
		return errors.Annotatef(err, "host: unable to serve %s", l.name)
	})
}

// address returns the address on which the listener accepts connections.
func (l *listener) address() string { return l.netListener.Addr().String() }

// shutdown stops accepting connections and waits until the running requests have ended. If the context ends first, it
// returns an error and the requests go on.
func (l *listener) shutdown(ctx context.Context) error {
	if err := l.server.Shutdown(ctx); err != nil {
		return errors.Annotatef(err, "host: unable to finish the requests of %s", l.name)
	}
	return nil
}

// serverTLS returns the TLS configuration of a listener, or nil if no certificate is set. With a CA file, client certificates
// are required.
func serverTLS(files config.TLSFiles) (*tls.Config, error) {
	if !files.HasCertificate() {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, errors.Annotate(err, "host: unable to load the certificate")
	}
	tlsConfig := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}}
	if files.CA == "" {
		return tlsConfig, nil
	}
	if tlsConfig.ClientCAs, err = loadCertPool(files.CA); err != nil {
		return nil, err
	}
	tlsConfig.ClientAuth = tls.RequireAndVerifyClientCert
	return tlsConfig, nil
}

// clientTLS returns the TLS configuration for calls to other hosts, or nil if no certificate is set.
func clientTLS(files config.TLSFiles) (*tls.Config, error) {
	if !files.HasCertificate() {
		return nil, nil
	}
	server, err := serverTLS(files)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: server.Certificates, RootCAs: server.ClientCAs}, nil
}

// loadCertPool reads CA certificates from a PEM file.
func loadCertPool(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Annotate(err, "host: unable to read the CA certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("host: unable to use %s as CA certificates: it contains no valid PEM certificate", file)
	}
	return pool, nil
}

package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/operator"
)

// answerTimeout bounds one request to a host.
const answerTimeout = 30 * time.Second

// pollInterval is the time between two looks at something that a command waits for.
const pollInterval = 200 * time.Millisecond

// errUsage marks wrong use that the grammar can't express.
const errUsage = errors.ConstError("wrong use")

// remote holds the flags that say which host to ask.
type remote struct {
	Operator   string `env:"MAGNOLIAHOIST_OPERATOR" default:"127.0.0.1:8081" placeholder:"ADDRESS" help:"Operators' listener of a host: IP number and port, or a URL."`
	Credential string `env:"MAGNOLIAHOIST_CREDENTIAL" placeholder:"TOKEN" help:"Operator credential."`
	CA         string `name:"ca" placeholder:"FILE" help:"Authorities of the host's certificate, in PEM."`
}

// session is what a command works with.
type session struct {
	printer
	remote
	ctx   context.Context
	hooks Hooks
}

// client returns a client of the host that the flags name.
func (s *session) client() (*operator.Client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil // a proxy would see the credential
	if s.CA != "" {
		data, err := os.ReadFile(s.CA)
		if err != nil {
			return nil, errors.Annotate(err, "cli: unable to read the authorities")
		}
		roots := x509.NewCertPool()
		if !roots.AppendCertsFromPEM(data) {
			return nil, errors.Errorf("cli: unable to find a certificate in %s", s.CA)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: roots}
	}
	return operator.NewClient(s.Operator, s.remote.Credential, &http.Client{Transport: transport, Timeout: answerTimeout}), nil
}

// wait sleeps until the next look, and reports false once the context has ended.
func wait(ctx context.Context) bool {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

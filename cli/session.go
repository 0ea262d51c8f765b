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

// requestTimeout limits the time of one request to a host.
const requestTimeout = 30 * time.Second

// pollInterval is the time between two requests for the state that a command waits for.
const pollInterval = 200 * time.Millisecond

// errUsage marks a wrong command line that the grammar can't detect.
const errUsage = errors.ConstError("wrong use")

// hostFlags holds the flags that name the host to which commands send their requests.
type hostFlags struct {
	Operator   string `env:"MAGNOLIAHOIST_OPERATOR" default:"127.0.0.1:8081" placeholder:"ADDRESS" help:"Listener for operators of a host: IP number and port, or a URL."`
	Credential string `env:"MAGNOLIAHOIST_CREDENTIAL" placeholder:"TOKEN" help:"Operator credential."`
	CA         string `name:"ca" placeholder:"FILE" help:"Authorities of the host's certificate, a PEM file."`
}

// session holds what every command needs: the output, the host's flags, a context that is done once the process is asked
// to stop, and the hooks.
type session struct {
	printer
	hostFlags
	ctx   context.Context
	hooks Hooks
}

// client returns a client for the host that the flags name.
func (s *session) client() (*operator.Client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil // a proxy would see the credential
	if s.CA != "" {
		data, err := os.ReadFile(s.CA)
		if err != nil {
			return nil, errors.Annotate(err, "cli: unable to read the file of authorities")
		}
		roots := x509.NewCertPool()
		if !roots.AppendCertsFromPEM(data) {
			return nil, errors.Errorf("cli: unable to find a PEM certificate in the file of authorities %s", s.CA)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: roots}
	}
	return operator.NewClient(s.Operator, s.hostFlags.Credential, &http.Client{Transport: transport, Timeout: requestTimeout}), nil
}

// waitForPoll waits for one pollInterval. It returns false if the context is done before.
func waitForPoll(ctx context.Context) bool {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

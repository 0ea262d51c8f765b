package dev

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"magnoliahoist/account"
	"magnoliahoist/config"
	"magnoliahoist/document"
	"magnoliahoist/host"
	"magnoliahoist/operator"
)

const (
	// startTimeout is the longest time from the start of the host until it serves the example tables.
	startTimeout = 30 * time.Second
	// startPollInterval is the time between two checks of a condition while the example starts.
	startPollInterval = 20 * time.Millisecond
)

// Addresses of the example host's listeners.
const (
	callerAddress   = "127.0.0.1:8080"
	operatorAddress = "127.0.0.1:8081"
	peerAddress     = "127.0.0.1:0"
)

// Run runs one host and stand-ins for all services and endpoints in this process, with example tables, until the context is
// done. It writes the keys and an example call to out, and log lines to errs.
func Run(ctx context.Context, out, errs io.Writer) error {
	standins, err := startExampleStandins()
	if err != nil {
		return err
	}
	defer standins.stop()
	log := hclog.New(&hclog.LoggerOptions{Name: "magnoliahoist", Output: errs, Level: hclog.Warn})
	h, err := host.New(exampleSettings(standins.addresses), log)
	if err != nil {
		return err
	}
	if err := h.Start(); err != nil {
		return err
	}
	fmt.Fprintln(out, "magnoliahoist: started, waiting until the example models are loaded (some seconds)")
	if err := applyExample(ctx, h, standins.addresses); err != nil {
		h.Kill()
		return err
	}
	fmt.Fprint(out, greeting)
	select {
	case <-ctx.Done():
		h.Drain(context.Background())
	case <-h.Done():
	}
	return h.Wait()
}

// exampleSettings returns the settings of the example host. The addresses are those of the stand-ins, by name.
func exampleSettings(addresses map[string]string) config.Host {
	s := config.Default()
	s.Domain = "fukuoka"
	s.Listen = config.Listen{Callers: callerAddress, Operators: operatorAddress, Peers: peerAddress}
	s.Platform = config.Platform{
		Table:   addresses["table"],
		Objects: addresses["objects"],
		Hosts:   addresses["hosts"],
		Weights: addresses["weights"],
	}
	s.BalancerLag = document.Duration(0) // there is no balancer that has to notice a drain
	return s
}

// applyExample applies the example tables, issues the example keys and waits until the example call succeeds.
func applyExample(ctx context.Context, h *host.Host, addresses map[string]string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := waitUntil(ctx, func() bool { return h.Fresh() && len(h.View().Members()) > 0 }); err != nil {
		return errors.Annotate(err, "dev: unable to start the host")
	}
	routes, pools, err := exampleTables(addresses)
	if err != nil {
		return errors.Annotate(err, "dev: unable to parse the example tables")
	}
	change, err := h.Edit(ctx, operator.Edit{Kind: operator.Pools, ID: "example-pools", Pools: pools})
	if err != nil {
		return errors.Annotate(err, "dev: unable to apply the example pools")
	}
	if _, err := h.Edit(ctx, operator.Edit{Kind: operator.Routes, ID: "example-routes", BaseRevision: change.Revision, Routes: routes}); err != nil {
		return errors.Annotate(err, "dev: unable to apply the example routes")
	}
	for key, name := range exampleKeys {
		if _, err := h.IssueKey(ctx, account.Key{Digest: account.Digest(key), Account: name, Label: "example"}); err != nil {
			return errors.Annotate(err, "dev: unable to issue an example key")
		}
	}
	if err := waitUntil(ctx, h.Ready); err != nil {
		return errors.Annotate(err, "dev: unable to get the host ready: it does not know a holder of every example account's tokens yet")
	}
	return errors.Annotate(waitUntil(ctx, func() bool { return exampleCallSucceeds(ctx) }), "dev: unable to make the example call: the example model is not loaded yet")
}

// exampleCallSucceeds makes the call that the greeting shows, and reports whether it succeeds.
func exampleCallSucceeds(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callerAddress+chatPath, strings.NewReader(exampleBody))
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+KeyKyushu)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// waitUntil polls the condition until it holds. It returns the context's error if the context is done before.
func waitUntil(ctx context.Context, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(startPollInterval):
		}
	}
	return nil
}

// Path and body of the example call.
const (
	chatPath    = "/v1/chat/completions"
	exampleBody = `{"model": "history", "max_tokens": 12, "messages": [{"role": "user", "content": "Summarise ladder 4711."}]}`
)

// greeting states the addresses and keys of the example host and a command for the example call.
const greeting = `magnoliahoist runs on this machine with example tables.
callers:   http://` + callerAddress + `   keys: ` + KeyKyushu + `, ` + KeyTranGia + `
operators: http://` + operatorAddress + `

Ask for an inspection history summary:

curl -s http://` + callerAddress + chatPath + ` -H 'Authorization: Bearer ` + KeyKyushu + `' -H 'Content-Type: application/json' -d '` + exampleBody + `'

Stop with Ctrl-C.
`

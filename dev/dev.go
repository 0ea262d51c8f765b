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
	// startTimeout bounds how long the host may take until it serves the example tables.
	startTimeout = 30 * time.Second
	startPoll    = 20 * time.Millisecond
)

// Addresses of the example host.
const (
	callerAddress   = "127.0.0.1:8080"
	operatorAddress = "127.0.0.1:8081"
	peerAddress     = "127.0.0.1:0"
)

// Run runs one host and all stand-ins in this process, with example tables, until the context ends.
func Run(ctx context.Context, out, errs io.Writer) error {
	fleet, err := newFleet()
	if err != nil {
		return err
	}
	defer fleet.stop()
	log := hclog.New(&hclog.LoggerOptions{Name: "magnoliahoist", Output: errs, Level: hclog.Warn})
	h, err := host.New(settings(fleet.addresses), log)
	if err != nil {
		return err
	}
	if err := h.Start(); err != nil {
		return err
	}
	fmt.Fprintln(out, "magnoliahoist: started, waiting until the example models are loaded (some seconds)")
	if err := load(ctx, h, fleet.addresses); err != nil {
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

func settings(addresses map[string]string) config.Host {
	s := config.Default()
	s.Domain = "fukuoka"
	s.Listen = config.Listen{Callers: callerAddress, Operators: operatorAddress, Peers: peerAddress}
	s.Platform = config.Platform{
		Table:   addresses["table"],
		Objects: addresses["objects"],
		Hosts:   addresses["hosts"],
		Weights: addresses["weights"],
	}
	s.Lag = document.Duration(0) // no balancer stands in front of it
	return s
}

// load writes the example tables and keys, and waits until the example call succeeds.
func load(ctx context.Context, h *host.Host, addresses map[string]string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := await(ctx, func() bool { return h.Fresh() && len(h.View().Members()) > 0 }); err != nil {
		return errors.Annotate(err, "dev: host did not start")
	}
	routes, pools, err := tables(addresses)
	if err != nil {
		return errors.Annotate(err, "dev: unable to read the example tables")
	}
	change, err := h.Edit(ctx, operator.Edit{Kind: operator.Pools, ID: "example-pools", Pools: pools})
	if err != nil {
		return errors.Annotate(err, "dev: unable to load the pools")
	}
	if _, err := h.Edit(ctx, operator.Edit{Kind: operator.Routes, ID: "example-routes", ETag: change.Revision, Routes: routes}); err != nil {
		return errors.Annotate(err, "dev: unable to load the routes")
	}
	for key, name := range exampleKeys {
		if _, err := h.IssueKey(ctx, account.Key{Digest: account.Digest(key), Account: name, Label: "example"}); err != nil {
			return errors.Annotate(err, "dev: unable to issue a key")
		}
	}
	if err := await(ctx, h.Ready); err != nil {
		return errors.Annotate(err, "dev: the accounts have no tokens yet")
	}
	return errors.Annotate(await(ctx, func() bool { return exampleCall(ctx) }), "dev: the example model is not loaded yet")
}

// exampleCall makes the call of the greeting and reports whether it succeeds.
func exampleCall(ctx context.Context) bool {
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

func await(ctx context.Context, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(startPoll):
		}
	}
	return nil
}

// The example call.
const (
	chatPath    = "/v1/chat/completions"
	exampleBody = `{"model": "history", "max_tokens": 12, "messages": [{"role": "user", "content": "Summarise ladder 4711."}]}`
)

// greeting tells a newcomer what runs and how to call it.
const greeting = `magnoliahoist runs on this machine with example tables.
callers:   http://` + callerAddress + `   keys: ` + KeyKyushu + `, ` + KeyTranGia + `
operators: http://` + operatorAddress + `

Ask for an inspection history summary:

curl -s http://` + callerAddress + chatPath + ` -H 'Authorization: Bearer ` + KeyKyushu + `' -H 'Content-Type: application/json' -d '` + exampleBody + `'

Stop with Ctrl-C.
`

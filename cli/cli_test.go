package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"magnoliahoist/account"
	"magnoliahoist/cli"
	"magnoliahoist/config"
	"magnoliahoist/operator"
	"magnoliahoist/pool"
	"magnoliahoist/route"
	"magnoliahoist/timeline"
)

const example = "../contrib/kyushu/"

// fakeBackend is an operator.Backend in memory. Each call of Change applies the change on one more host.
type fakeBackend struct {
	mu             sync.Mutex
	routes         route.Table
	pools          pool.Table
	keys           []account.Key
	change         operator.Change
	edits          []operator.Kind
	neverAccepted  bool   // changes stay applied by one host
	outcomeUnknown bool   // edits take effect but return operator.ErrOutcomeUnknown
	stopServer     func() // called once no requests are left; nil: a drain never ends
	requestsLeft   int    // one fewer after each call of Status
}

func (f *fakeBackend) commit() (operator.Change, error) {
	f.change = operator.Change{Revision: f.change.Revision + 1, Applied: 1, Members: 3}
	if f.outcomeUnknown {
		return operator.Change{}, operator.ErrOutcomeUnknown
	}
	return f.change, nil
}

func (f *fakeBackend) Tables(context.Context) (route.Table, pool.Table, int64, error) {
	return f.routes, f.pools, f.change.Revision, nil
}

func (f *fakeBackend) Edit(_ context.Context, edit operator.Edit) (operator.Change, error) {
	if edit.BaseRevision != f.change.Revision {
		return operator.Change{}, &operator.Conflict{CurrentRevision: f.change.Revision}
	}
	if edit.Kind == operator.Routes {
		f.routes = edit.Routes
	} else {
		f.pools = edit.Pools
	}
	f.edits = append(f.edits, edit.Kind)
	return f.commit()
}

func (f *fakeBackend) IssueKey(_ context.Context, key account.Key) (operator.Change, error) {
	f.keys = append(f.keys, key)
	return f.commit()
}

func (f *fakeBackend) WithdrawKey(context.Context, string) (operator.Change, error) {
	f.keys[0] = f.keys[0].AsWithdrawn()
	return f.commit()
}

func (f *fakeBackend) Keys(context.Context) ([]account.Key, error) { return f.keys, nil }

func (f *fakeBackend) Change(context.Context, int64) (operator.Change, error) {
	if !f.neverAccepted {
		f.change.Applied = min(f.change.Applied+1, f.change.Members)
		f.change.Accepted = f.change.Applied > f.change.Members/2
	}
	return f.change, nil
}

func (f *fakeBackend) Status(context.Context) (operator.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	status := operator.Status{Host: "h1", State: operator.Serving, ActiveRequests: f.requestsLeft}
	if f.stopServer != nil && f.requestsLeft > 0 {
		f.requestsLeft--
		if f.requestsLeft == 0 {
			go f.stopServer()
		}
	}
	return status, nil
}

func (f *fakeBackend) Drain(context.Context) error { return nil }

func (f *fakeBackend) Timeline(context.Context) ([]timeline.Log, error) {
	return []timeline.Log{{Host: "h1", Events: []timeline.Event{{Host: "h1", Sequence: 1, Kind: timeline.Received, Request: "r1"}}}}, nil
}

// startServer serves the operators' API of a backend and sets the environment variables with its address and credential.
func startServer(t *testing.T, f *fakeBackend) *httptest.Server {
	server := httptest.NewServer(operator.New(f, "0123456789abcdef", hclog.NewNullLogger()).Handler())
	t.Cleanup(server.Close)
	t.Setenv("MAGNOLIAHOIST_OPERATOR", server.URL)
	t.Setenv("MAGNOLIAHOIST_CREDENTIAL", "0123456789abcdef")
	return server
}

// runCommand runs a command line without hooks and returns its exit status and output.
func runCommand(args ...string) (status int, out, errs string) {
	var o, e bytes.Buffer
	status = cli.Hooks{}.Run(args, &o, &e)
	return status, o.String(), e.String()
}

// Guards against a wrong exit status and against output on the wrong stream.
func TestCommands(t *testing.T) {
	wrong := filepath.Join(t.TempDir(), "routes.json")
	qt.Assert(t, os.WriteFile(wrong, []byte(`{"accounts": [], "routes": [], "more": 1}`), 0o600), qt.IsNil)
	startServer(t, &fakeBackend{})
	tests := map[string]struct {
		args      string
		status    int
		out, errs string
	}{
		"help":            {"--help", 0, "Usage", ""},
		"no command":      {"", 2, "", "expected one of"},
		"unknown command": {"fly", 2, "", "fly"},
		"unknown output":  {"-o xml version", 2, "", "xml"},
		"check nothing":   {"check", 2, "", "wrong use"},
		"check":           {"check --routes " + example + "routes.json --pools " + example + "pools.json --host " + example + "host-1.json", 0, "valid", ""},
		"check wrong":     {"check --routes " + wrong, 1, "", wrong + `: more: the unknown field "more"`},
		"check wrong all": {"check --routes " + wrong + " --host " + wrong, 1, "", wrong + `: accounts: the unknown field "accounts"`},
		"check JSON":      {"-o json check --routes " + wrong, 1, "", `"path":"more"`},
		"check no file":   {"check --pools nowhere.json", 1, "", "no such file"},
		"host":            {"host --config " + example + "host-1.json", 1, "", "not built"},
		"dev":             {"dev", 1, "", "not built"},
		"dump":            {"config dump " + example + "host-1.json", 0, `"window": "3s"`, ""},
		"version":         {"-o json version", 0, `"go"`, ""},
		"health":          {"health", 0, "serving", ""},
		"status":          {"status", 0, "h1", ""},
		"get":             {"get pools", 0, `"pools"`, "revision 0"},
		"timeline":        {"timeline --request r1", 0, "request=r1", ""},
		"timeline kind":   {"timeline --kind nothing", 2, "", "does not exist"},
		"timeline trace":  {"timeline --trace", 0, "traceEvents", ""},
		"wrong token":     {"--credential wrong status", 1, "", "credential"},
		"no host":         {"--operator 127.0.0.1:1 status", 1, "", "refused"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			status, out, errs := runCommand(strings.Fields(test.args)...)
			qt.Check(t, status, qt.Equals, test.status, qt.Commentf("%s", errs))
			qt.Check(t, out, qt.Contains, test.out)
			qt.Check(t, errs, qt.Contains, test.errs)
			if test.errs == "" {
				qt.Check(t, errs, qt.Equals, "")
			}
		})
	}
}

// Guards against replacing tables in an order that leaves routes without their pool, against reporting success before the
// change is in force, and against edits of unchanged tables.
func TestApply(t *testing.T) {
	both := []string{"apply", "--routes", example + "routes.json", "--pools", example + "pools.json"}
	t.Run("both tables", func(t *testing.T) {
		f := &fakeBackend{}
		startServer(t, f)
		status, out, errs := runCommand(both...)
		qt.Assert(t, status, qt.Equals, 0, qt.Commentf("%s", errs))
		qt.Check(t, f.edits, qt.DeepEquals, []operator.Kind{operator.Pools, operator.Routes})
		qt.Check(t, out, qt.Contains, "accepted, applied by 3 of 3 hosts")
		qt.Check(t, errs, qt.Contains, "revision 1: durable, not yet accepted, applied by 1 of 3 hosts")
		status, out, _ = runCommand(both...)
		qt.Check(t, status, qt.Equals, 0)
		qt.Check(t, out, qt.Equals, "unchanged\n")
		qt.Check(t, f.edits, qt.HasLen, 2)
	})
	t.Run("change never accepted", func(t *testing.T) {
		startServer(t, &fakeBackend{neverAccepted: true})
		status, _, errs := runCommand("apply", "--pools", example+"pools.json", "--wait", "300ms")
		qt.Check(t, status, qt.Equals, 1)
		qt.Check(t, errs, qt.Contains, "revision 1 is durable but not yet in force")
	})
	t.Run("outcome unknown", func(t *testing.T) {
		startServer(t, &fakeBackend{outcomeUnknown: true})
		status, _, errs := runCommand("apply", "--pools", example+"pools.json", "--id", "e1")
		qt.Check(t, status, qt.Equals, 1)
		qt.Check(t, errs, qt.Contains, "repeat the command with --id e1 --revision 0")
	})
	t.Run("old revision", func(t *testing.T) {
		startServer(t, &fakeBackend{change: operator.Change{Revision: 4}})
		status, _, errs := runCommand("apply", "--pools", example+"pools.json", "--revision", "3")
		qt.Check(t, status, qt.Equals, 1)
		qt.Check(t, errs, qt.Contains, "the current version is 4")
	})
	t.Run("routes without pools", func(t *testing.T) {
		f := &fakeBackend{}
		startServer(t, f)
		status, _, errs := runCommand("apply", "--routes", example+"routes.json")
		qt.Check(t, status, qt.Equals, 1)
		qt.Check(t, errs, qt.Contains, "routes[0].pool")
		qt.Check(t, f.edits, qt.HasLen, 0)
	})
}

// Guards against issuing a key without printing it, and against reporting a withdrawal before it is in force.
func TestKeys(t *testing.T) {
	f := &fakeBackend{routes: route.Table{Accounts: []account.Account{{Name: "yards"}}}}
	startServer(t, f)
	status, out, errs := runCommand("-o", "json", "key", "issue", "yards")
	qt.Assert(t, status, qt.Equals, 0, qt.Commentf("%s", errs))
	var issued operator.IssuedKey
	qt.Assert(t, json.Unmarshal([]byte(out), &issued), qt.IsNil)
	qt.Check(t, f.keys[0].Digest, qt.Equals, account.Digest(issued.Key))
	status, out, _ = runCommand("key", "withdraw", issued.ID)
	qt.Check(t, status, qt.Equals, 0)
	qt.Check(t, out, qt.Equals, "withdrawn: accepted, applied by 3 of 3 hosts\n")
	_, out, _ = runCommand("key", "list")
	qt.Check(t, out, qt.Contains, "withdrawn")
	qt.Check(t, out, qt.Not(qt.Contains), issued.Key)
}

// Guards against a drain that reports success while requests still run.
func TestDrain(t *testing.T) {
	f := &fakeBackend{requestsLeft: 3}
	server := startServer(t, f)
	f.stopServer = server.Close
	status, out, errs := runCommand("drain")
	qt.Assert(t, status, qt.Equals, 0, qt.Commentf("%s", errs))
	qt.Check(t, out, qt.Equals, "stopped h1\n")
	qt.Check(t, errs, qt.Contains, "requests left: 1")
	startServer(t, &fakeBackend{requestsLeft: 3})
	status, _, errs = runCommand("drain", "--wait", "300ms")
	qt.Check(t, status, qt.Equals, 1)
	qt.Check(t, errs, qt.Contains, "has not stopped yet")
}

// Guards against commands that don't call their hook or drop its error.
func TestHooks(t *testing.T) {
	var got config.Host
	hooks := cli.Hooks{
		Host: func(_ context.Context, load func() (config.Host, error), _, _ io.Writer) (err error) {
			got, err = load()
			return err
		},
		Dev: func(context.Context, io.Writer, io.Writer) error { return errors.New("no free port") },
	}
	var errs bytes.Buffer
	qt.Check(t, hooks.Run([]string{"host", "--config", example + "host-2.json"}, io.Discard, &errs), qt.Equals, 0)
	qt.Check(t, got.Domain, qt.Equals, "kumamoto")
	qt.Check(t, hooks.Run([]string{"dev"}, io.Discard, &errs), qt.Equals, 1)
	qt.Check(t, errs.String(), qt.Contains, "no free port")
}

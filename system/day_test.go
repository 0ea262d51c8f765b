package system_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/operator"
)

// operatorCLI runs the operator commands of the binary against one host.
type operatorCLI struct {
	t       *testing.T
	address string
	dir     string
}

// run runs a command of the binary and returns its exit status, standard output and standard error.
func (cli *operatorCLI) run(args ...string) (status int, out, errs string) {
	cli.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, binary, args...)
	command.Env = append(os.Environ(), "MAGNOLIAHOIST_OPERATOR="+cli.address, "MAGNOLIAHOIST_CREDENTIAL="+testCredential)
	var stdout, stderr bytes.Buffer
	command.Stdout, command.Stderr = &stdout, &stderr
	_ = command.Run() // callers check the exit status
	return command.ProcessState.ExitCode(), stdout.String(), stderr.String()
}

// mustRun runs a command, fails the test unless it succeeds, and returns its standard output.
func (cli *operatorCLI) mustRun(args ...string) string {
	cli.t.Helper()
	status, out, errs := cli.run(args...)
	if status != 0 {
		cli.t.Fatalf("%s: status %d\n%s%s", strings.Join(args, " "), status, out, errs)
	}
	return out
}

// writeFile writes an input file for a command and returns its path.
func (cli *operatorCLI) writeFile(name, content string) string {
	cli.t.Helper()
	path := filepath.Join(cli.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		cli.t.Fatal(err)
	}
	return path
}

// Guards against operator commands that do not work as docs/OPERATIONS.md shows them: applying tables, issuing and
// withdrawing keys (also during a stream), status and timeline after a host is killed, a drain, and exit statuses.
func TestOperatorsDay(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, layout{hostCount: 3, engineOptions: slowEngine, fencedEngines: []bool{true, true}})
	cli := &operatorCLI{t, f.hosts[0].word("operators"), t.TempDir()}

	c.Check(cli.mustRun("health"), qt.Equals, "serving\n")
	pools, routes := cli.mustRun("get", "pools"), cli.mustRun("get", "routes")
	poolsFile, routesFile := cli.writeFile("pools.json", pools), cli.writeFile("routes.json", routes)
	c.Check(cli.mustRun("check", "--routes", routesFile, "--pools", poolsFile), qt.Equals, "valid\n")
	c.Check(cli.mustRun("apply", "--routes", routesFile, "--pools", poolsFile), qt.Equals, "unchanged\n")

	edited := strings.Replace(routes, `"burst": 2000`, `"burst": 3000`, 1)
	c.Assert(edited, qt.Not(qt.Equals), routes)
	c.Check(cli.mustRun("apply", "--routes", cli.writeFile("routes.json", edited)), qt.Contains, "routes: accepted")
	edited = strings.Replace(pools, `"slots": 64`, `"slots": 32`, 1)
	c.Assert(edited, qt.Not(qt.Equals), pools)
	c.Check(cli.mustRun("apply", "--pools", cli.writeFile("pools.json", edited)), qt.Contains, "pools: accepted")

	statuses := map[string]struct {
		status int
		args   []string
		errs   string
	}{
		"stale edit":      {1, []string{"apply", "--routes", cli.writeFile("old.json", routes), "--revision", "1"}, "current version"},
		"broken table":    {1, []string{"check", "--routes", cli.writeFile("broken.json", `{"accounts": [], "routes": [], "more": 1}`)}, "more"},
		"unknown account": {1, []string{"key", "issue", "nobody"}, "nobody"},
		"wrong use":       {2, []string{"apply"}, "--routes"},
		"wrong kind":      {2, []string{"timeline", "--kind", "nothing"}, "does not exist"},
		"no host":         {1, []string{"--operator", "127.0.0.1:1", "status"}, "refused"},
	}
	for name, test := range statuses {
		c.Run(name, func(c *qt.C) {
			status, _, errs := cli.run(test.args...)
			c.Check(status, qt.Equals, test.status)
			c.Check(errs, qt.Contains, test.errs)
		})
	}

	var issued operator.IssuedKey
	c.Assert(json.Unmarshal([]byte(cli.mustRun("-o", "json", "key", "issue", "yards", "--label", "gate 3")), &issued), qt.IsNil)
	c.Check(cli.mustRun("key", "list"), qt.Contains, "gate 3")
	lines, cancel := f.openStream(1, issued.Key, "day", 400)
	defer cancel()
	<-lines
	c.Check(cli.mustRun("key", "withdraw", issued.ID), qt.Contains, "withdrawn: accepted")
	c.Check(f.readRemaining(lines), qt.Contains, `"type":"withdrawn_key"`)

	events := cli.mustRun("timeline", "--account", "yards", "--host", f.hosts[1].word("host"))
	for _, kind := range []string{"received", "sent", "first", "failed", "cut"} {
		c.Check(events, qt.Contains, " "+kind+" ")
	}
	c.Check(events, qt.Not(qt.Contains), issued.Key)
	c.Check(cli.mustRun("timeline", "--trace"), qt.Contains, `"traceEvents"`)

	cli.checkEngineKilled(c, f)
	cli.checkReload(c, f)
	cli.checkHostKilled(c, f)

	otherCLI := &operatorCLI{t, f.hosts[1].word("operators"), cli.dir}
	c.Check(cli.mustRun("drain"), qt.Contains, "stopped "+f.hosts[0].word("host"))
	<-f.hosts[0].Done()
	c.Check(f.hosts[0].Err(), qt.IsNil)
	c.Check(otherCLI.mustRun("timeline", "--kind", "removed"), qt.Contains, "member "+f.hosts[0].word("host"))
	c.Check(f.chat(1, f.keys["yards"], "after", 2).status, qt.Equals, 200)
}

// requestsAfterKill is the number of requests sent at once after an engine was killed. The hash of a prompt selects its preferred
// engine; enough of these prompts prefer the killed engine to have it ejected before its missing load reports are noticed.
const requestsAfterKill = 48

// checkEngineKilled kills an engine and checks that its failed attempts, retries and ejection appear in the status and the timeline.
func (cli *operatorCLI) checkEngineKilled(c *qt.C, f *fleet) {
	f.eventually("engine-1 has sent a load report", func() bool {
		status, err := f.operatorClients[0].Status(context.Background())
		return err == nil && slices.ContainsFunc(status.Endpoints, func(e operator.Endpoint) bool { return e.Name == "engine-1" && e.ReportAge > 0 })
	})
	f.engines[1].Kill()
	responses := make([]callerResponse, requestsAfterKill)
	var sent sync.WaitGroup
	for i := range responses {
		sent.Go(func() { responses[i] = f.chat(0, f.keys["yards"], fmt.Sprintf("engine gone %d", i), 2) })
	}
	sent.Wait()
	for _, got := range responses {
		// The retry budget is a share of the requests: when most of a few requests fail, not all of them can be retried.
		c.Check(got.status == 200 || strings.Contains(got.body, "endpoint_failed"), qt.IsTrue, qt.Commentf("%+v", got))
	}
	f.eventually("engine-1 is ejected", func() bool {
		return strings.Contains(cli.mustRun("timeline", "--kind", "ejected"), "endpoint=engine-1")
	})
	c.Check(cli.mustRun("status"), qt.Contains, "endpoint engine-1 of pool inspection is ejected")
	c.Check(cli.mustRun("timeline", "--kind", "restored"), qt.Equals, "")
	f.eventually("the status lists engine-1 as silent", func() bool {
		return strings.Contains(cli.mustRun("status"), "endpoint engine-1 of pool inspection has not reported for")
	})
	c.Check(cli.mustRun("timeline", "--kind", "retried"), qt.Contains, "endpoint=engine-0")
	for _, kind := range []string{"received", "failed", "retried", "finished", "answered"} {
		c.Check(cli.mustRun("timeline", "--endpoint", "engine-1"), qt.Contains, " "+kind+" ")
	}
}

// checkReload changes the log level with SIGHUP, without a restart, and checks that the log then has a line for each request, that settings
// which need a restart are reported, and that invalid settings are rejected.
func (cli *operatorCLI) checkReload(c *qt.C, f *fleet) {
	h := f.hosts[1]
	c.Check(h.Log(), qt.Not(qt.Contains), "request ended")
	file := h.Args()[len(h.Args())-1]
	data, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Check(cli.mustRun("config", "dump", file), qt.Not(qt.Contains), testSecret)
	var settings map[string]any
	c.Assert(json.Unmarshal(data, &settings), qt.IsNil)
	settings["log"] = map[string]string{"level": "debug", "format": "text"}
	settings["holders"] = 4
	c.Assert(os.WriteFile(file, encode(f.t, settings), 0o600), qt.IsNil)
	h.Signal(syscall.SIGHUP)
	f.eventually("the settings are reloaded after SIGHUP", func() bool { return strings.Contains(h.Log(), "settings loaded again") })
	c.Check(f.chat(1, f.keys["yards"], "logged", 2).status, qt.Equals, 200)
	f.eventually("the end of the request is logged at level debug", func() bool { return strings.Contains(h.Log(), "request ended") })
	c.Check(h.Log(), qt.Contains, "account=yards result=done")
	c.Check(h.Log(), qt.Contains, "restart only: settings=[\"holders\"]")
	c.Check(h.Log(), qt.Not(qt.Contains), f.keys["yards"])
	c.Assert(os.WriteFile(file, []byte("{"), 0o600), qt.IsNil)
	h.Signal(syscall.SIGHUP)
	f.eventually("invalid settings are rejected", func() bool { return strings.Contains(h.Log(), "keeping the current ones") })
}

// checkHostKilled kills a host and checks that the status and the timeline of the other hosts show its silence and its removal.
func (cli *operatorCLI) checkHostKilled(c *qt.C, f *fleet) {
	id := f.hosts[2].word("host")
	f.hosts[2].Kill()
	f.eventually("the status and the timeline list the killed host as silent", func() bool {
		return strings.Contains(cli.mustRun("status"), "member "+id) && strings.Contains(cli.mustRun("timeline", "--kind", "silent"), "member "+id)
	})
	f.eventually("the timeline shows the removal of the killed host", func() bool {
		return strings.Contains(cli.mustRun("timeline", "--kind", "removed"), "member "+id)
	})
	events := cli.mustRun("timeline", "--host", id)
	c.Check(events, qt.Contains, "the host ended; its events that were not read before are lost")
	c.Check(cli.mustRun("status"), qt.Not(qt.Contains), "member "+id)
}

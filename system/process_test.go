package system_test

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"magnoliahoist/dev"
	"magnoliahoist/process"
)

// binary is the path of the binary under test.
var binary string

// TestMain builds the binary once for all tests.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(process.BuildAndRun("..", &binary, m.Run))
}

// testProcess is a process of the binary under test, which is killed at the end of the test.
type testProcess struct {
	t *testing.T
	*process.Process
}

// startProcess runs the binary and waits for its first line of output, which contains its addresses. If the test fails, the log of the process
// is printed.
func startProcess(t *testing.T, name string, args ...string) *testProcess {
	t.Helper()
	p, err := process.Start(name, binary, args...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, p.Log())
		}
	})
	return &testProcess{t: t, Process: p}
}

// word returns the word after name in the first line of output, such as an address after the name of its listener.
func (p *testProcess) word(name string) string {
	word, found := p.WordAfter(name)
	if !found {
		p.t.Fatalf("%s: no word %q in the first line %q", p.Name(), name, p.FirstLine())
	}
	return word
}

// startStandin starts a stand-in of the given kind.
func startStandin(t *testing.T, name, kind string, o dev.Options) *testProcess {
	t.Helper()
	return startProcess(t, name, "standin", kind, "--options", o.String())
}

func (p *testProcess) address() string { return p.word("listening") }

// hostSettings are the settings of a host under test, which are encoded to JSON.
type hostSettings map[string]any

// startHost writes the settings to a file and starts a host with them.
func startHost(t *testing.T, name string, settings hostSettings) *testProcess {
	t.Helper()
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return startProcess(t, name, "host", "--config", file)
}

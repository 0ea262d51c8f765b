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
	os.Exit(process.Main("..", &binary, m.Run))
}

// running is a process of the binary under test, which is killed at the end of the test.
type running struct {
	t *testing.T
	*process.Process
}

// start runs the binary and waits for its first line of output, which contains its addresses. If the test fails, the log of the process
// is printed.
func start(t *testing.T, name string, args ...string) *running {
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
	return &running{t: t, Process: p}
}

// word returns the word after name in the first line of output, such as an address after the name of its listener.
func (p *running) word(name string) string {
	word, found := p.Word(name)
	if !found {
		p.t.Fatalf("%s: no word %q in the first line %q", p.Name(), name, p.Line())
	}
	return word
}

// standin starts a stand-in of the given kind.
func standin(t *testing.T, name, kind string, o dev.Options) *running {
	t.Helper()
	return start(t, name, "standin", kind, "--options", o.String())
}

func (p *running) address() string { return p.word("listening") }

// hostSettings are the settings of a host under test, which are encoded to JSON.
type hostSettings map[string]any

// startHost writes the settings to a file and starts a host with them.
func startHost(t *testing.T, name string, settings hostSettings) *running {
	t.Helper()
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return start(t, name, "host", "--config", file)
}

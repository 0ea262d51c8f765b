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

// binary is the path of the program under test.
var binary string

// TestMain builds the binary once.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(process.BuildAndRun("..", &binary, m.Run))
}

// running is one running process of the test.
type running struct {
	t *testing.T
	*process.Process
}

// start runs the binary and waits for its first line.
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

// word returns the word after a name in the first line.
func (p *running) word(name string) string {
	word, found := p.WordAfter(name)
	if !found {
		p.t.Fatalf("%s: no %q in %q", p.Name(), name, p.FirstLine())
	}
	return word
}

// standin runs a stand-in and returns its address.
func standin(t *testing.T, name, kind string, o dev.Options) *running {
	t.Helper()
	return start(t, name, "standin", kind, "--options", o.String())
}

func (p *running) address() string { return p.word("listening") }

// hostSettings are the settings of a host under test, as JSON.
type hostSettings map[string]any

// startHost runs an entry host with free ports.
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

package cli

import (
	"runtime"
	"runtime/debug"

	"magnoliahoist/config"
)

type configCommands struct {
	Dump dumpCommand `cmd:"" help:"Print all settings of a host, including defaults, with secrets masked."`
}

type dumpCommand struct {
	File string `arg:"" help:"File of the host's settings."`
}

// Run prints the settings as JSON, also if the output format is text.
func (c dumpCommand) Run(s *session) error {
	settings, err := config.Load(c.File)
	if err != nil {
		return err
	}
	data, err := settings.Dump()
	if err != nil {
		return err
	}
	_, err = s.out.Write(data)
	return err
}

type versionCommand struct{}

// Run prints the version and the revision that the Go toolchain recorded in the binary.
func (versionCommand) Run(s *session) error {
	version, revision := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = setting.Value
			}
		}
	}
	text := "magnoliahoist " + version + " " + runtime.Version()
	if revision != "" {
		text += " " + revision
	}
	return s.print(map[string]string{"version": version, "revision": revision, "go": runtime.Version()}, text)
}

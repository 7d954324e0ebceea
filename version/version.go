// Package version reads the build information of the running program.
package version

import (
	"fmt"
	"runtime/debug"
)

const (
	_unknown     = "unknown"
	_revisionKey = "vcs.revision"
	_modifiedKey = "vcs.modified"
	_timeKey     = "vcs.time"
)

// Build is the build information of a program.
type Build struct {
	version   string
	revision  string
	time      string
	goVersion string
	modified  bool
}

// Read returns the build information that the Go toolchain recorded in the program.
func Read() Build {
	built := Build{version: _unknown, revision: _unknown}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return built
	}
	built.version, built.goVersion = info.Main.Version, info.GoVersion
	for _, setting := range info.Settings {
		switch setting.Key {
		case _revisionKey:
			built.revision = setting.Value
		case _timeKey:
			built.time = setting.Value
		case _modifiedKey:
			built.modified = setting.Value == "true"
		}
	}
	return built
}

// String returns the build information on one line.
func (build Build) String() string {
	text := fmt.Sprintf("azureshift %s, revision %s", build.version, build.revision)
	if build.time != "" {
		text += " of " + build.time
	}
	if build.modified {
		text += " with changes"
	}
	return text + ", " + build.goVersion
}

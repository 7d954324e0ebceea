// Package command implements the command line of an entry instance in front of the platform.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rotisserie/eris"

	"azureshift/cli"
	"azureshift/entry"
	"azureshift/io/file"
	"azureshift/settings"
	"azureshift/version"
)

const (
	// SettingsVariable is the environment variable that holds the path of the settings file.
	SettingsVariable = "AZURESHIFT_SETTINGS"
	_defaultPath     = "settings.json"
	_serversCommand  = "servers"
	_explainCommand  = "explain"
	// _gcPercent lets the heap grow by a quarter between two collections: memory is scarce on small machines, and little
	// is allocated.
	_gcPercent = 25
)

// Run executes the command with the given arguments, prints its error and returns the exit status.
func Run(args []string, stdout, stderr io.Writer) int {
	return cli.ExitStatus(Execute(args, stdout, stderr), stderr)
}

// Execute executes the command with the given arguments: it runs an entry instance, or only checks its settings or
// prints the version. The subcommand servers prints what running instances believe of the backend servers, and explain
// where they would send a flow.
func Execute(args []string, stdout, stderr io.Writer) error {
	if len(args) > 0 {
		switch args[0] {
		case _serversCommand:
			return showServers(args[1:], stdout, stderr)
		case _explainCommand:
			return explain(args[1:], stdout, stderr)
		}
	}
	flags := cli.NewFlags("entry", "[flags] | "+_serversCommand+" [flags] | "+_explainCommand+" [flags]", stderr)
	path := flags.String("settings", defaultPath(),
		"path of the settings file; defaults to "+SettingsVariable+" if that is set")
	check := flags.Bool("check", false, "check the settings file and exit")
	showVersion := flags.Bool("version", false, "print the version and exit")
	if err := cli.ParseFlags(flags, args, 0, 0); err != nil {
		return err
	}
	if *showVersion {
		_, err := fmt.Fprintln(stdout, version.Read())
		return eris.Wrap(err, "print the version")
	}
	parsed, err := load(*path)
	if err != nil {
		return err
	}
	if *check {
		_, err := fmt.Fprintf(stdout, "%s: settings of %s are valid\n", *path, parsed.Instance)
		return eris.Wrap(err, "print the result")
	}
	return serve(parsed, *path, stdout)
}

// serve runs an instance until SIGTERM or SIGINT, and returns after its planned stop.
func serve(config settings.Entry, path string, stdout io.Writer) error {
	debug.SetGCPercent(_gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	daemon, err := entry.New(entry.Config{Settings: config, Path: path, Output: stdout})
	if err != nil {
		return err
	}
	daemon.Run(ctx)
	return nil
}

// load reads the settings file. Its error has a line for each fault in the settings.
func load(path string) (settings.Entry, error) {
	raw, err := file.Read(path)
	if err != nil {
		return settings.Entry{}, cli.Usagef("%v; set %s or -settings", err, SettingsVariable)
	}
	parsed, err := settings.ParseEntry(raw)
	var faults settings.FaultList
	if !errors.As(err, &faults) {
		return parsed, err
	}
	usageError := &cli.UsageError{}
	for _, fault := range faults {
		usageError.Lines = append(usageError.Lines, path+": "+fault.String())
	}
	return settings.Entry{}, usageError
}

func defaultPath() string {
	if path := os.Getenv(SettingsVariable); path != "" {
		return path
	}
	return _defaultPath
}

package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"

	"azureshift/cli"
	"azureshift/daemon"
	"azureshift/settings"
)

// serve runs one entry instance. The first signal starts a graceful shutdown; the second terminates immediately.
func serve(_ context.Context, args []string, stderr io.Writer) error {
	flags := cli.NewFlags("serve", "[-settings FILE]", stderr)
	path := flags.String("settings", "settings.json", "path of the settings file")
	if err := cli.ParseFlags(flags, args, 0, 0); err != nil {
		return err
	}
	config, err := loadSettings(*path)
	if err != nil {
		return err
	}
	server, err := daemon.New(daemon.Config{Settings: config, LogOutput: stderr})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go stopOnSignal(signals, server, cancel)
	server.Run(ctx)
	return nil
}

// loadSettings reads the settings. Its usage error reports every fault in them, one per line.
func loadSettings(path string) (settings.Settings, error) {
	raw, err := readFile(path)
	if err != nil {
		return settings.Settings{}, err
	}
	var text json.RawMessage
	if err := json.Unmarshal(raw, &text); err != nil {
		return settings.Settings{}, cli.Usagef("%s: %v; correct the JSON", path, err)
	}
	loaded, err := settings.Parse(raw)
	if err == nil {
		return loaded, nil
	}
	var faults settings.FaultList
	if !errors.As(err, &faults) {
		return settings.Settings{}, cli.Usagef("%s: %v", path, err)
	}
	usage := &cli.UsageError{}
	for _, fault := range faults {
		usage.Lines = append(usage.Lines, path+": "+fault.String())
	}
	return settings.Settings{}, usage
}

func stopOnSignal(signals <-chan os.Signal, server *daemon.Daemon, cancel context.CancelFunc) {
	<-signals
	server.Stop()
	<-signals
	cancel()
}

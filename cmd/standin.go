package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/cli"
	"azureshift/core/id"
	"azureshift/io/coap"
	"azureshift/standin/backend"
	"azureshift/standin/caller"
	"azureshift/standin/fabric"
	"azureshift/standin/platform"
)

const (
	_feedRefresh   = 500 * time.Millisecond
	_ackTimeout    = 300 * time.Millisecond
	_maxRetransmit = 4
	_headerTimeout = 5 * time.Second
)

func standin(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	if len(args) == 0 {
		return cli.Usagef("standin: name one of platform, fabric, backend and caller")
	}
	switch args[0] {
	case "platform":
		return standinPlatform(ctx, args[1:], stderr)
	case "fabric":
		return standinFabric(ctx, args[1:], stderr)
	case "backend":
		return standinBackend(ctx, args[1:], stderr)
	case "caller":
		return standinCaller(ctx, args[1:], stdout, stderr)
	default:
		return cli.Usagef("unknown stand-in %q; use platform, fabric, backend or caller", args[0])
	}
}

func standinPlatform(ctx context.Context, args []string, stderr io.Writer) error {
	flags := cli.NewFlags("standin platform", "[-listen ADDRESS]", stderr)
	listen := flags.String("listen", "127.0.0.1:8500", "address to listen on")
	if err := cli.ParseFlags(flags, args, 0, 0); err != nil {
		return err
	}
	server := &http.Server{Addr: *listen, Handler: platform.New(), ReadHeaderTimeout: _headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); err != nil && ctx.Err() == nil {
		return eris.Wrapf(err, "listen on %s", *listen)
	}
	return nil
}

func standinFabric(ctx context.Context, args []string, stderr io.Writer) error {
	var config fabric.Config
	if err := loadConfig("standin fabric", args, stderr, &config); err != nil {
		return err
	}
	running, err := fabric.New(config)
	if err != nil {
		return err
	}
	running.Run(ctx)
	return nil
}

func standinBackend(ctx context.Context, args []string, stderr io.Writer) error {
	var config backend.Config
	if err := loadConfig("standin backend", args, stderr, &config); err != nil {
		return err
	}
	running, err := backend.New(config)
	if err != nil {
		return err
	}
	running.Run(ctx)
	return nil
}

func standinCaller(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	flags := cli.NewFlags("standin caller", "-service ADDRESS [flags]", stderr)
	config := caller.Config{AckTimeout: _ackTimeout, MaxRetransmit: _maxRetransmit}
	name := flags.String("name", "chiosco", "name of the service")
	flags.TextVar(&config.ServiceAddress, "service", config.ServiceAddress, "address of the service")
	kind := flags.String("kind", "order", "kind of request: order, feed or export")
	payload := flags.String("payload", "", "payload of the order")
	duration := flags.Duration("duration", time.Second, "maximum duration of the call; a feed is held for this long")
	if err := cli.ParseFlags(flags, args, 0, 0); err != nil {
		return err
	}
	config.ServiceName = id.Service(*name)
	client, err := caller.New(config)
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(ctx, *duration)
	defer cancel()
	return call(ctx, client, *kind, *payload, stdout)
}

func call(ctx context.Context, client *caller.Caller, kind, payload string, stdout io.Writer) error {
	switch kind {
	case "order":
		answer, err := client.Order(ctx, []byte(payload))
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(stdout, "%s %s\n", answer.Code, answer.Payload)
		return eris.Wrap(err, "print answer")
	case "feed":
		feedTiming := caller.FeedTiming{MaxSilence: _feedRefresh, RefreshInterval: _feedRefresh}
		return client.Feed(ctx, feedTiming, func(notification coap.Message) {
			_, _ = fmt.Fprintf(stdout, "%s\n", notification.Payload)
		})
	case "export":
		export, err := client.Export(ctx)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(stdout, "%d bytes\n", len(export))
		return eris.Wrap(err, "print export")
	default:
		return cli.Usagef("unknown kind %q; use order, feed or export", kind)
	}
}

// loadConfig reads the settings file of a stand-in into config.
func loadConfig(name string, args []string, stderr io.Writer, config any) error {
	flags := cli.NewFlags(name, "-settings FILE", stderr)
	path := flags.String("settings", "", "`file` with the settings")
	if err := cli.ParseFlags(flags, args, 0, 0, "settings"); err != nil {
		return err
	}
	raw, err := readFile(*path)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(config); err != nil {
		return cli.Usagef("%s: %v; correct the JSON", *path, err)
	}
	return nil
}

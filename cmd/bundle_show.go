package cmd

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/bundle"
	"azureshift/bundle/roll"
	"azureshift/cli"
	"azureshift/core/id"
)

func showBundle(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	flags := newBundleFlags("show", "-platform URL [-version N] [-json]", stderr)
	address := flags.String("platform", "", "`URL` of the platform, as in http://192.0.2.1:8500")
	version := flags.Uint64("version", 0, "a recent `version` (default the one in force)")
	asJSON := flags.Bool("json", false, "print the bundle as JSON, to edit and sign off")
	timeout := flags.Duration("timeout", _bundleTimeout, "maximum time to retry calls")
	if err := cli.ParseFlags(flags, args, 0, 0, "platform"); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	head, shown, err := loadBundle(ctx, *address, id.Version(*version))
	if err != nil {
		return err
	}
	if *asJSON {
		return printBundle(stdout, shown)
	}
	_, err = fmt.Fprintf(stdout, "version %d with %d services and %d targets, signed off by key %s at %s as %s\n",
		head.Version, len(shown.Services), shown.CountTargets(), head.SignedBy,
		head.SignedOff.UTC().Format(time.RFC3339), head.RollID)
	return eris.Wrap(err, "print the result")
}

func diffBundles(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	flags := newBundleFlags("diff", "BEFORE AFTER, or -platform URL AFTER", stderr)
	address := flags.String("platform", "", "`URL` of the platform whose bundle in force is compared as BEFORE")
	timeout := flags.Duration("timeout", _bundleTimeout, "maximum time to retry calls")
	if err := cli.ParseFlags(flags, args, 1, 2); err != nil {
		return err
	}
	if (flags.NArg() == 1) != (*address != "") {
		return cli.Usagef("bundle diff: give two files, or -platform and one file; see azureshift bundle diff -h")
	}
	after, err := parseFile(flags.Arg(flags.NArg()-1), bundle.ParseAny)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	var before bundle.Bundle
	if *address != "" {
		_, before, err = loadBundle(ctx, *address, 0)
	} else {
		before, err = parseFile(flags.Arg(0), bundle.ParseAny)
	}
	if err != nil {
		return err
	}
	for _, change := range bundle.Diff(before, after) {
		if _, err := fmt.Fprintln(stdout, change); err != nil {
			return eris.Wrap(err, "print the result")
		}
	}
	return nil
}

// loadBundle loads a version from the platform. Version zero stands for the one in force.
func loadBundle(ctx context.Context, address string, version id.Version) (bundle.Head, bundle.Bundle, error) {
	client, err := newPlatformClient(address)
	if err != nil {
		return bundle.Head{}, bundle.Bundle{}, err
	}
	roller := roll.New(roll.Config{Store: client})
	head, err := roller.CurrentHead(ctx)
	if err == nil && version != 0 {
		head, err = roller.FindHead(ctx, version)
	}
	if err != nil {
		return bundle.Head{}, bundle.Bundle{}, err
	}
	if head.Version == 0 {
		return bundle.Head{}, bundle.Bundle{}, eris.Errorf("the platform at %s holds no bundle; roll one", address)
	}
	loaded, err := roller.LoadBundle(ctx, head)
	return head, loaded, err
}

func printBundle(stdout io.Writer, shown bundle.Bundle) error {
	raw, err := shown.Encode()
	if err != nil {
		return err
	}
	_, err = stdout.Write(raw)
	return eris.Wrap(err, "print the bundle")
}

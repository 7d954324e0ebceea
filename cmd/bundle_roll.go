package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/bundle"
	"azureshift/bundle/roll"
	"azureshift/cli"
	"azureshift/core/id"
	"azureshift/io/platform"
)

// rollFlags holds the flags of bundle roll.
type rollFlags struct {
	platform   string
	input      string
	key        string
	publicKeys string
	expect     expectation
	wait       time.Duration
	timeout    time.Duration
}

// expectation is the optional flag for the version that the operator expects to be in force.
type expectation struct {
	version id.Version
	given   bool
}

// String returns the version, or an empty string if the flag is not set.
func (expectation *expectation) String() string {
	if expectation == nil || !expectation.given {
		return ""
	}
	return strconv.FormatUint(uint64(expectation.version), 10)
}

// Set parses the version.
func (expectation *expectation) Set(text string) error {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return eris.New("write a version, as printed by bundle show, or 0 for none")
	}
	expectation.version, expectation.given = id.Version(version), true
	return nil
}

func rollBundle(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	flags := newBundleFlags("roll", "-platform URL -in FILE [-key FILE] [-expect VERSION] [-wait TIME]", stderr)
	given := rollFlags{}
	given.define(flags)
	if err := cli.ParseFlags(flags, args, 0, 0, "platform", "in"); err != nil {
		return err
	}
	signed, err := given.readSigned()
	if err != nil {
		return err
	}
	client, err := newPlatformClient(given.platform)
	if err != nil {
		return err
	}
	rollContext, cancel := context.WithTimeout(ctx, given.timeout)
	defer cancel()
	report, err := rollSigned(rollContext, client, signed, given.expect)
	if err != nil {
		return err
	}
	if err := printRollReport(stdout, stderr, report); err != nil || given.wait <= 0 {
		return err
	}
	waitContext, cancelWait := context.WithTimeout(ctx, given.wait)
	defer cancelWait()
	count, err := roll.Await(waitContext, client, nil, signed.Head.Version)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(stdout, "all %d instances hold version %d\n", count, signed.Head.Version)
	return eris.Wrap(err, "print the result")
}

func (given *rollFlags) define(flags *flag.FlagSet) {
	flags.StringVar(&given.platform, "platform", "", "`URL` of the platform, as in http://192.0.2.1:8500")
	flags.StringVar(&given.input, "in", "", "`file` of the signed bundle, or with -key of an unsigned one")
	flags.StringVar(&given.key, "key", "", "`file` of the private key to sign the bundle off with before the roll")
	flags.StringVar(&given.publicKeys, "keys", "", "`file` of the instances' public keys, to verify the signature first")
	flags.Var(&given.expect, "expect", "`version` that you expect to be in force (default the current one)")
	flags.DurationVar(&given.wait, "wait", 0, "maximum time to wait until all instances hold the version")
	flags.DurationVar(&given.timeout, "timeout", _bundleTimeout, "maximum time to retry the roll")
}

// readSigned reads the signed bundle, or an unsigned one and signs it off.
func (given *rollFlags) readSigned() (bundle.Signed, error) {
	var signed bundle.Signed
	var err error
	if given.key != "" {
		signed, err = signFile(given.key, given.input)
	} else {
		signed, err = parseFile(given.input, bundle.ParseSigned)
	}
	if err != nil || given.publicKeys == "" {
		return signed, err
	}
	ring, err := parseFile(given.publicKeys, bundle.ParseKeyRing)
	if err != nil {
		return signed, err
	}
	if err := ring.VerifyHead(signed.Head); err != nil {
		return signed, withPath(given.input, err)
	}
	return signed, nil
}

func rollSigned(
	ctx context.Context, client *platform.Client, signed bundle.Signed, expect expectation,
) (roll.Report, error) {
	roller := roll.New(roll.Config{Store: client})
	if expect.given {
		return roller.Roll(ctx, signed, expect.version)
	}
	head, err := roller.CurrentHead(ctx)
	if err != nil {
		return roll.Report{}, err
	}
	return roller.Roll(ctx, signed, head.Version)
}

func printRollReport(stdout, stderr io.Writer, report roll.Report) error {
	if report.CleanupErr != nil {
		_, _ = fmt.Fprintln(stderr, "azureshift: old parts were not deleted; the next roll will retry:", report.CleanupErr)
	}
	text := fmt.Sprintf("version %d is in force in place of %d; %d parts written\n",
		report.Head.Version, report.PreviousVersion, report.PartsWritten)
	if report.AlreadyRolled {
		text = fmt.Sprintf("version %d had already been rolled; version %d is in force\n",
			report.Head.Version, report.PreviousVersion)
	}
	_, err := io.WriteString(stdout, text)
	return eris.Wrap(err, "print the result")
}

// newPlatformClient returns a client for the platform at the URL given with -platform.
func newPlatformClient(address string) (*platform.Client, error) {
	client, err := platform.New(platform.Config{Address: address})
	if err != nil {
		return nil, cli.Usagef("flag -platform: %v", err)
	}
	return client, nil
}

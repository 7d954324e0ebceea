package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"azureshift/cli"
)

const _bundleUsage = `usage: azureshift bundle COMMAND [flags]

commands:
  validate FILE                          check a bundle and report every fault
  keygen -out FILE                       generate a sign-off key; the public key goes to FILE.pub
  sign -key FILE -in FILE -out FILE      sign a bundle off
  roll -platform URL -in FILE            put a signed bundle in force everywhere
  show -platform URL [-version N]        show the bundle in force, or a recent version
  diff [-platform URL] FILE [FILE]       show the differences between two bundles

"azureshift bundle COMMAND -h" shows the flags. docs/BUNDLES.md describes the file format.
`

const _bundleTimeout = 10 * time.Second

// bundleCommand runs a subcommand of bundle.
func bundleCommand(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	if len(args) == 0 {
		_, _ = fmt.Fprint(stderr, _bundleUsage)
		return flag.ErrHelp
	}
	rest := args[1:]
	switch args[0] {
	case "validate":
		return validateBundle(rest, stdout, stderr)
	case "keygen":
		return generateKey(rest, stdout, stderr)
	case "sign":
		return signBundle(rest, stdout, stderr)
	case "roll":
		return rollBundle(ctx, rest, stdout, stderr)
	case "show":
		return showBundle(ctx, rest, stdout, stderr)
	case "diff":
		return diffBundles(ctx, rest, stdout, stderr)
	case "-h", "-help", "--help", "help":
		_, _ = fmt.Fprint(stderr, _bundleUsage)
		return flag.ErrHelp
	default:
		return cli.Usagef("unknown command %q; use bundle validate, keygen, sign, roll, show or diff", args[0])
	}
}

// newBundleFlags returns the flag set of a subcommand of bundle.
func newBundleFlags(name, call string, stderr io.Writer) *flag.FlagSet {
	return cli.NewFlags("bundle "+name, call, stderr)
}

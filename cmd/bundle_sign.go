package cmd

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/bundle"
	"azureshift/cli"
)

func validateBundle(args []string, stdout, stderr io.Writer) error {
	flags := newBundleFlags("validate", "FILE", stderr)
	if err := cli.ParseFlags(flags, args, 1, 1); err != nil {
		return err
	}
	parsed, err := parseFile(flags.Arg(0), bundle.ParseAny)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(stdout, "%s: version %d with %d services and %d targets is valid\n",
		flags.Arg(0), parsed.Version, len(parsed.Services), parsed.CountTargets())
	return eris.Wrap(err, "print the result")
}

func generateKey(args []string, stdout, stderr io.Writer) error {
	flags := newBundleFlags("keygen", "-out FILE", stderr)
	out := flags.String("out", "", "output `file` for the private key; the public key goes to FILE.pub")
	if err := cli.ParseFlags(flags, args, 0, 0, "out"); err != nil {
		return err
	}
	key, err := bundle.NewSigningKey()
	if err != nil {
		return err
	}
	private, err := key.PrivatePEM()
	if err != nil {
		return err
	}
	public, err := key.PublicPEM()
	if err != nil {
		return err
	}
	if err := createFile(*out, private, _privateMode); err != nil {
		return err
	}
	if err := createFile(*out+_publicSuffix, public, _publicMode); err != nil {
		_ = os.Remove(*out)
		return err
	}
	_, err = fmt.Fprintf(stdout, "key %s: keep %s secret, add %s%s to the instances' public keys\n",
		key.ID(), *out, *out, _publicSuffix)
	return eris.Wrap(err, "print the result")
}

func signBundle(args []string, stdout, stderr io.Writer) error {
	flags := newBundleFlags("sign", "-key FILE -in FILE -out FILE", stderr)
	key := flags.String("key", "", "`file` of the private key")
	in := flags.String("in", "", "`file` of the unsigned bundle")
	out := flags.String("out", "", "output `file` for the signed bundle")
	if err := cli.ParseFlags(flags, args, 0, 0, "key", "in", "out"); err != nil {
		return err
	}
	signed, err := signFile(*key, *in)
	if err != nil {
		return err
	}
	raw, err := signed.Encode()
	if err != nil {
		return err
	}
	if err := replaceFile(*out, raw); err != nil {
		return err
	}
	_, err = fmt.Fprintf(stdout, "%s: version %d is signed off by key %s as %s\n",
		*out, signed.Head.Version, signed.Head.SignedBy, signed.Head.RollID)
	return eris.Wrap(err, "print the result")
}

func signFile(key, in string) (bundle.Signed, error) {
	described, err := parseFile(in, bundle.Parse)
	if err != nil {
		return bundle.Signed{}, err
	}
	signingKey, err := parseFile(key, bundle.ParseSigningKey)
	if err != nil {
		return bundle.Signed{}, err
	}
	return signingKey.Sign(described, time.Now())
}

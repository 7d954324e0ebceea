package command

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/segmentio/encoding/json"

	"azureshift/cli"
	"azureshift/core/packet"
	"azureshift/entry"
)

// _defaultSamples is the number of new flows that are tried unless another one is given.
const _defaultSamples = 16

// explain prints where instances would send a flow now, and why, without sending anything. It prints all that it can
// read, and fails if it could not read some.
func explain(args []string, stdout, stderr io.Writer) error {
	flags := cli.NewFlags("entry explain", "-from IP:PORT[,IP:PORT...] -client IP[:PORT] -service IP:PORT [flags]\n\n"+
		"example: azureshift-entry explain -from 10.1.0.10:9464 -client 100.64.0.7 -service 198.18.0.1:443", stderr)
	from := flags.String("from", "", "metrics `addresses` of instances (setting Metrics.Listen), separated by commas")
	client := flags.String("client", "", "`address` of the client, with its port or without")
	service := flags.String("service", "", "`address` and port that the client connects to")
	cookie := flags.Uint("cookie", 0, "cookie of an open flow; left out, new flows are tried")
	samples := flags.Int("samples", _defaultSamples, "`number` of new flows to try, as each draws its own number")
	asJSON := flags.Bool("json", false, "print one JSON object per instance")
	if err := cli.ParseFlags(flags, args, 0, 0, "from", "client", "service"); err != nil {
		return err
	}
	addresses, err := parseAddresses(*from)
	if err != nil {
		return err
	}
	question := entry.Question{Cookie: packet.Cookie(*cookie), Samples: *samples}
	if question.Client, err = parseClient(*client); err != nil {
		return err
	}
	if question.Service, err = netip.ParseAddrPort(*service); err != nil {
		return cli.Usagef("explain: -service %q: write an IP address and a port, as in 198.18.0.1:443", *service)
	}
	explanations, failures := entry.Explain(context.Background(), addresses, question)
	for _, err := range failures {
		_, _ = fmt.Fprintln(stderr, "azureshift:", err)
	}
	for _, explanation := range explanations {
		if err := printExplanation(stdout, explanation, *asJSON); err != nil {
			return err
		}
	}
	if len(failures) > 0 {
		return eris.Errorf("%d of %d instances could not be read", len(failures), len(addresses))
	}
	return nil
}

// parseClient parses an address with a port or without; the port is zero then.
func parseClient(text string) (netip.AddrPort, error) {
	if address, err := netip.ParseAddr(text); err == nil {
		return netip.AddrPortFrom(address, 0), nil
	}
	client, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, cli.Usagef("explain: -client %q: write an IP address, as in 100.64.0.7", text)
	}
	return client, nil
}

func printExplanation(stdout io.Writer, explanation entry.Explanation, asJSON bool) error {
	if asJSON {
		return eris.Wrap(json.NewEncoder(stdout).Encode(explanation), "print the explanation")
	}
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "%s (%s): %s to %s by configuration %d, confirmed %v ago\n", explanation.Instance,
		explanation.Domain, explanation.Client, explanation.Service, explanation.Version, milliseconds(explanation.AgeMs))
	_, _ = fmt.Fprintln(table, "SAMPLES\tACTION\tREASON\tSERVER\tDOMAIN\tIN PROGRESS\tSERVICE TIME")
	for _, outcome := range explanation.Outcomes {
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%.1f\t%v\n", outcome.Samples, outcome.Action, outcome.Reason,
			outcome.Server, outcome.Domain, outcome.InProgress, milliseconds(outcome.ServiceTimeMs))
	}
	if explanation.AdmittedMs > 0 {
		_, _ = fmt.Fprintf(table, "expected %v of at most %v, utilisation %.2f: %.0f %% of such flows are refused\n",
			milliseconds(explanation.ExpectedMs), milliseconds(explanation.AdmittedMs), explanation.ExpectedUtilisation,
			explanation.RefusedShare*100)
	}
	for _, domain := range explanation.Domains {
		_, _ = fmt.Fprintf(table, "service %s in %s: %d servers take new flows, of these %d slow and %d in slow start; "+
			"utilisation %.2f\n", explanation.BackendService, domain.Domain, domain.Servers, domain.Slow, domain.Cold,
			domain.Utilisation)
	}
	for _, excluded := range explanation.Excluded {
		_, _ = fmt.Fprintf(table, "service %s: %d servers take no new flows: %s\n", explanation.BackendService,
			excluded.Servers, excluded.Condition)
	}
	return eris.Wrap(table.Flush(), "print the explanation")
}

func milliseconds(count int64) time.Duration {
	return time.Duration(count) * time.Millisecond
}

package command

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/segmentio/encoding/json"

	"azureshift/cli"
	"azureshift/core/id"
	"azureshift/entry"
)

// _serversTimeout bounds the time in which all instances are asked.
const _serversTimeout = 10 * time.Second

// showServers prints what instances believe of the backend servers, the slowest first. It prints all that it can read,
// and fails if it could not read some.
func showServers(args []string, stdout, stderr io.Writer) error {
	flags := cli.NewFlags("entry servers", "-from IP:PORT[,IP:PORT...] [flags]\n\n"+
		"example: azureshift-entry servers -from 10.1.0.10:9464,10.2.0.10:9464 -all", stderr)
	from := flags.String("from", "", "metrics `addresses` of instances (setting Metrics.Listen), separated by commas")
	all := flags.Bool("all", false, "also print servers that are usable")
	asJSON := flags.Bool("json", false, "print one JSON object per instance")
	if err := cli.ParseFlags(flags, args, 0, 0, "from"); err != nil {
		return err
	}
	addresses, err := parseAddresses(*from)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), _serversTimeout)
	defer cancel()
	var pages []entry.ServersPage
	failed := 0
	for _, address := range addresses {
		page, err := entry.FetchServers(ctx, address)
		if err != nil {
			failed++
			_, _ = fmt.Fprintln(stderr, "azureshift:", err)
			continue
		}
		pages = append(pages, page)
	}
	if err := printServers(stdout, pages, *all, *asJSON); err != nil {
		return err
	}
	if failed > 0 {
		return eris.Errorf("%d of %d instances could not be read", failed, len(addresses))
	}
	return nil
}

func parseAddresses(text string) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for _, each := range strings.Split(text, ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(each))
		if err != nil {
			return nil, cli.Usagef("servers: -from %q: write IP addresses and ports, as in 192.0.2.1:9464", each)
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// seenServer is a server with the instance that reported it.
type seenServer struct {
	entry.ServerStatus
	Instance id.Instance
}

func (server seenServer) slowness() float64 {
	if server.UsualMs == 0 {
		return 0
	}
	return float64(server.ServiceTimeMs) / float64(server.UsualMs)
}

func printServers(stdout io.Writer, pages []entry.ServersPage, all, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(stdout)
		for _, page := range pages {
			if err := encoder.Encode(page); err != nil {
				return eris.Wrap(err, "print the servers")
			}
		}
		return nil
	}
	var seen []seenServer
	for _, page := range pages {
		for _, server := range page.Servers {
			if all || server.Condition != entry.ServerUsable {
				seen = append(seen, seenServer{ServerStatus: server, Instance: page.Instance})
			}
		}
	}
	slices.SortStableFunc(seen, func(left, right seenServer) int {
		return cmp.Or(cmp.Compare(right.slowness(), left.slowness()), cmp.Compare(left.Server, right.Server))
	})
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, strings.Join([]string{
		"SERVER", "SERVICE", "DOMAIN", "CONDITION", "REASON", "TIMES USUAL", "SERVICE TIME", "USUAL", "ANSWERS", "AGE",
		"SEEN BY",
	}, "\t"))
	for _, server := range seen {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%.1f\t%v\t%v\t%d\t%v\t%s\n", server.Server, server.Service,
			server.Domain, server.Condition, server.Reason, server.slowness(),
			milliseconds(server.ServiceTimeMs), milliseconds(server.UsualMs), server.Answers,
			milliseconds(server.AgeMs), server.Instance)
	}
	return eris.Wrap(table.Flush(), "print the servers")
}

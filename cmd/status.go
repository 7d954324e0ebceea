package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"azureshift/cli"
	"azureshift/io/operator"
)

const _statusTimeout = 10 * time.Second

// addressList is a repeatable flag for addresses.
type addressList []netip.AddrPort

// String returns the addresses, separated by commas.
func (list *addressList) String() string {
	texts := make([]string, 0, len(*list))
	for _, address := range *list {
		texts = append(texts, address.String())
	}
	return strings.Join(texts, ",")
}

// Set adds an address.
func (list *addressList) Set(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return eris.New("write an IP address and a port, as in 192.0.2.1:7101")
	}
	*list = append(*list, address)
	return nil
}

// showStatus prints the status of entry instances. It prints all that it can read, and fails if it
// could not read some.
func showStatus(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	flags := cli.NewFlags("status", "-address IP:PORT... | -platform URL", stderr)
	var addresses addressList
	flags.Var(&addresses, "address",
		"`address` that an instance listens on for operators (setting Operator.Listen); may be repeated")
	platform := flags.String("platform", "", "`URL` of the platform; shows every instance registered there")
	asJSON := flags.Bool("json", false, "print one JSON object per line")
	if err := cli.ParseFlags(flags, args, 0, 0); err != nil {
		return err
	}
	if (len(addresses) > 0) == (*platform != "") {
		return cli.Usagef("status: give either -address or -platform; see azureshift status -h")
	}
	ctx, cancel := context.WithTimeout(ctx, _statusTimeout)
	defer cancel()
	if *platform != "" {
		listed, err := operatorAddresses(ctx, *platform)
		if err != nil {
			return err
		}
		addresses = listed
	}
	return printStatuses(ctx, addresses, *asJSON, stdout, stderr)
}

// operatorAddresses returns the operator addresses of all instances registered at the platform.
func operatorAddresses(ctx context.Context, platform string) (addressList, error) {
	client, err := newPlatformClient(platform)
	if err != nil {
		return nil, err
	}
	instances, err := client.Instances(ctx)
	if err != nil {
		return nil, err
	}
	if len(instances) == 0 {
		return nil, eris.Errorf("the platform at %s lists no instance; check the address, or use -address", platform)
	}
	var addresses addressList
	for _, instance := range instances {
		addresses = append(addresses, instance.Operator)
	}
	return addresses, nil
}

func printStatuses(ctx context.Context, addresses addressList, asJSON bool, stdout, stderr io.Writer) error {
	failed := 0
	for index, address := range addresses {
		status, err := operator.Fetch(ctx, address)
		if err != nil {
			failed++
			_, _ = fmt.Fprintln(stderr, "azureshift:", err)
			continue
		}
		if err := printStatus(stdout, status, asJSON, index > 0); err != nil {
			return err
		}
	}
	if failed > 0 {
		return eris.Errorf("the status of %d of %d instances could not be read; see the errors above",
			failed, len(addresses))
	}
	return nil
}

func printStatus(stdout io.Writer, status operator.Status, asJSON, blankLineBefore bool) error {
	if asJSON {
		return eris.Wrap(json.NewEncoder(stdout).Encode(status), "print status")
	}
	if blankLineBefore {
		_, _ = fmt.Fprintln(stdout)
	}
	return operator.Print(stdout, status)
}

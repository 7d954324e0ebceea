package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"

	"github.com/sirupsen/logrus"
)

const (
	_maxNameLength  = 64
	_remedyName     = "use 1 to 64 lower-case letters, digits and hyphens"
	_remedyListen   = `write an IP address and a port, such as "192.0.2.1:5683"`
	_remedyDuration = `write a duration above zero, such as "30s"`
)

var _namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*$`)

// faults validates settings whose defaults are filled in.
func (settings Settings) faults() FaultList {
	var faults FaultList
	checkName(&faults, "Instance", string(settings.Instance))
	checkName(&faults, "Domain", string(settings.Domain))
	if settings.Domain != "" {
		checkName(&faults, "Region", string(settings.Region))
	}
	checkPort(&faults, "Fabric.Listen", settings.Fabric.Listen)
	checkPort(&faults, "Fabric.Return", settings.Fabric.Return)
	checkAddress(&faults, "Backend.Listen", settings.Backend.Listen)
	settings.Peer.check(&faults)
	settings.Platform.check(&faults)
	checkAddress(&faults, "Operator.Listen", settings.Operator.Listen)
	checkPaths(&faults, "Bundle.PublicKeyFiles", settings.Bundle.PublicKeyFiles)
	if len(settings.Bundle.PublicKeyFiles) == 0 {
		faults.add("Bundle.PublicKeyFiles", "without a public key no bundle can be verified",
			`generate a key pair with "azureshift bundle keygen" and name the file of the public key`)
	}
	settings.Limits.check(&faults)
	settings.Log.check(&faults)
	return faults
}

func (peer Peer) check(faults *FaultList) {
	checkAddress(faults, "Peer.Listen", peer.Listen)
	if peer.Advertise.IsValid() {
		checkPort(faults, "Peer.Advertise", peer.Advertise)
	}
	if peer.Listen.Addr().IsUnspecified() && !peer.Advertise.IsValid() {
		faults.add("Peer.Advertise", "peers cannot send to the unspecified address in Peer.Listen", _remedyListen)
	}
	if peer.Advertise.Addr().IsUnspecified() {
		faults.add("Peer.Advertise", "peers cannot send to the unspecified address", _remedyListen)
	}
	for index, seed := range peer.Seeds {
		checkPort(faults, fmt.Sprintf("Peer.Seeds[%d]", index), seed)
	}
	checkPaths(faults, "Peer.KeyFiles", peer.KeyFiles)
	if len(peer.KeyFiles) == 0 && (len(peer.Seeds) > 0 || !peer.Listen.Addr().IsLoopback()) {
		faults.add("Peer.KeyFiles", "peers can be reached, but there is no shared key",
			"name at least one file with a shared key")
	}
}

func (platform Platform) check(faults *FaultList) {
	address, err := url.Parse(platform.Address)
	if err != nil || address.Host == "" || (address.Scheme != "http" && address.Scheme != "https") {
		faults.add("Platform.Address", fmt.Sprintf("%q is not an http or https URL", platform.Address),
			`write one such as "http://192.0.2.2:8500"`)
	}
	checkDuration(faults, "Platform.Timeout", platform.Timeout)
	checkDuration(faults, "Platform.Watch", platform.Watch)
}

func (limits Limits) check(faults *FaultList) {
	checkDuration(faults, "Limits.FlowIdle", limits.FlowIdle)
	checkDuration(faults, "Limits.RequestDeadline", limits.RequestDeadline)
	checkDuration(faults, "Limits.Retention", limits.Retention)
	checkDuration(faults, "Limits.StopLimit", limits.StopLimit)
	checkPositive(faults, "Limits.Flows", limits.Flows)
	checkPositive(faults, "Limits.Requests", limits.Requests)
	if limits.Retention < limits.RequestDeadline {
		faults.add("Limits.Retention", "answers would be dropped before the deadline of their requests",
			"set Retention to at least RequestDeadline")
	}
}

func (log Log) check(faults *FaultList) {
	if _, err := logrus.ParseLevel(log.Level); err != nil {
		faults.add("Log.Level", fmt.Sprintf("%q is not a log level", log.Level), "use error, warning, info or debug")
	}
	if log.Format != FormatText && log.Format != FormatJSON {
		faults.add("Log.Format", fmt.Sprintf("%q is not a log format", log.Format), "use text or json")
	}
}

func checkName(faults *FaultList, field, value string) {
	if len(value) > _maxNameLength || !_namePattern.MatchString(value) {
		faults.add(field, fmt.Sprintf("%q is not a valid name", value), _remedyName)
	}
}

func checkAddress(faults *FaultList, field string, value netip.AddrPort) {
	if !value.IsValid() {
		faults.add(field, "an address is required", _remedyListen)
	}
}

func checkPort(faults *FaultList, field string, value netip.AddrPort) {
	checkAddress(faults, field, value)
	if value.IsValid() && value.Port() == 0 {
		faults.add(field, "port 0 selects a random port that others cannot know", _remedyListen)
	}
}

func checkDuration(faults *FaultList, field string, value Duration) {
	if value <= 0 {
		faults.add(field, fmt.Sprintf("%s is not above zero", value), _remedyDuration)
	}
}

func checkPositive(faults *FaultList, field string, value int) {
	if value <= 0 {
		faults.add(field, fmt.Sprintf("%d is not above zero", value), "write a number above zero")
	}
}

func checkPaths(faults *FaultList, field string, paths []string) {
	for index, path := range paths {
		if path == "" {
			faults.add(fmt.Sprintf("%s[%d]", field, index), "the path is empty", "write the path of a file")
		}
	}
}

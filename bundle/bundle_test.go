package bundle_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"azureshift/bundle"
	"azureshift/core/id"
)

const _faulty = `{"Version": 0, "Colour": 1, "Services": [
 {"Name": "chiosco", "Customer": "V", "Address": "192.0.2.1:1", "Targets": [
  {"Name": "a", "Domain": "tirano", "Address": "nowhere", "Slots": -1, "Mode": "Asleep"},
  {"Name": "a", "Domain": "tirano", "Address": "[2001:db8::1]:1", "Slots": "two", "Connections": 2000000}]},
 {"Name": "chiosco", "Customer": "V V", "Address": "192.0.2.1:1", "Targets": []},
 {"Name": "stampa", "Customer": "V", "Address": "224.0.0.1:1", "Targets": [
  {"Name": "b", "Domain": "tirano", "Address": "192.0.2.9:1", "Mode": "Draining", "Mode": "Draining"}]}]}`

func TestParseNamesEveryFault(t *testing.T) {
	c := qt.New(t)
	_, err := bundle.Parse([]byte(_faulty))
	var faults bundle.FaultList
	c.Assert(errors.As(err, &faults), qt.IsTrue)
	paths := make([]string, 0, len(faults))
	for _, fault := range faults {
		paths = append(paths, fault.Path)
		c.Assert(fault.Problem != "" && fault.Remedy != "", qt.IsTrue)
	}
	c.Assert(paths, qt.ContentEquals, []string{
		"Colour", "Version",
		"Services[0].Targets[0].Address", "Services[0].Targets[0].Slots", "Services[0].Targets[0].Mode",
		"Services[0].Targets[1].Name", "Services[0].Targets[1].Address", "Services[0].Targets[1].Slots",
		"Services[0].Targets[1].Connections",
		"Services[1].Name", "Services[1].Customer", "Services[1].Address", "Services[1].Targets",
		"Services[2].Address", "Services[2].Targets", "Services[2].Targets[0].Mode",
	})
}

func TestParseFillsInDefaults(t *testing.T) {
	c := qt.New(t)
	parsed, err := bundle.Parse([]byte(`{"Version": 1, "Services": [{"Name": "chiosco", "Customer": "V",
		"Address": "192.0.2.1:1", "Targets": [{"Name": "a", "Domain": "tirano", "Address": "192.0.2.2:1"}]}]}`))
	c.Assert(err, qt.IsNil)
	c.Assert(parsed.Services[0].Targets[0], qt.Equals, bundle.Target{
		Name: "a", Domain: "tirano",
		Address: netip.MustParseAddrPort("192.0.2.2:1"), Health: netip.MustParseAddrPort("192.0.2.2:1"),
		Slots: bundle.DefaultSlots, Connections: bundle.DefaultConnections, Mode: bundle.ModeActive,
	})
}

func TestDiffNamesWhatChanged(t *testing.T) {
	c := qt.New(t)
	before, after := newBundle(1, 3, 2), newBundle(2, 3, 2)
	after.Services[1].Targets[0].Mode = bundle.ModeDraining
	after.Services = after.Services[:2]
	changes := bundle.Diff(before, after)
	lines := make([]string, 0, len(changes))
	for _, change := range changes {
		lines = append(lines, change.String())
	}
	c.Assert(lines, qt.DeepEquals, []string{
		"~ Version 1 -> 2",
		"~ service-0001.Targets[service-0001-00].Mode Active -> Draining",
		"- service-0002 192.0.2.1:1003 with 2 targets",
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(_faulty))
	f.Add([]byte(`{"Version": 1, "Services": [{}]}`))
	raw, _ := json.Marshal(newBundle(1, 2, 2))
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		parsed, err := bundle.Parse(raw)
		if err != nil {
			return
		}
		c := qt.New(t)
		encoded, err := json.Marshal(parsed)
		c.Assert(err, qt.IsNil)
		again, err := bundle.Parse(encoded)
		c.Assert(err, qt.IsNil)
		c.Assert(bundle.Diff(parsed, again), qt.HasLen, 0)
	})
}

func ExampleParse() {
	_, err := bundle.Parse([]byte(`{"Version": 1, "Services": []}`))
	fmt.Println(err)
	// Output:
	// the bundle has 1 faults:
	// Services: is empty; add at least one service
}

// newBundle returns a valid bundle of the given size.
func newBundle(version id.Version, services, targets int) bundle.Bundle {
	created := bundle.Bundle{Version: version}
	for index := range services {
		service := bundle.Service{Name: id.Service(fmt.Sprintf("service-%04d", index)), Customer: "Valtellina"}
		service.Address = netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), uint16(1001+index))
		for number := range targets {
			name := fmt.Sprintf("%s-%02d", service.Name, number)
			address := netip.AddrFrom4([4]byte{10, byte(index >> 8), byte(index), byte(number + 1)})
			service.Targets = append(service.Targets, bundle.Target{
				Name: id.Target(name), Domain: "morbegno", Address: netip.AddrPortFrom(address, 5683),
			})
		}
		created.Services = append(created.Services, service)
	}
	return created.WithDefaults()
}

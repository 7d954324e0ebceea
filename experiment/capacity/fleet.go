package capacity

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"azureshift/bundle"
	"azureshift/core/epoch"
	"azureshift/core/gossip"
	"azureshift/core/id"
	"azureshift/core/membership"
)

const (
	_peerPort   = 7000
	_targetPort = 5683
)

// fleet holds the members, the views and the bundle that are fed to the measured instance.
type fleet struct {
	size    Size
	members []membership.Record
	views   []epoch.View
	key     bundle.SigningKey
	keyRing bundle.KeyRing
	bundle  bundle.Bundle
}

func newFleet(size Size) (*fleet, error) {
	fleet := &fleet{size: size}
	for number := range size.Members {
		fleet.members = append(fleet.members, memberRecord(number, size.Domains))
	}
	for number := range size.Domains {
		fleet.views = append(fleet.views, fleet.viewOf(domainName(number)))
	}
	for number := range size.Services {
		fleet.bundle.Services = append(fleet.bundle.Services, newService(number, size))
	}
	fleet.bundle.Version = 1
	fleet.bundle = fleet.bundle.WithDefaults()
	return fleet, fleet.generateKey()
}

func (fleet *fleet) generateKey() error {
	key, err := bundle.NewSigningKey()
	if err != nil {
		return err
	}
	public, err := key.PublicPEM()
	if err != nil {
		return err
	}
	fleet.key = key
	fleet.keyRing, err = bundle.ParseKeyRing(public)
	return err
}

func domainName(number int) id.Domain {
	return id.Domain(fmt.Sprintf("domain-%d", number))
}

func memberRecord(number, domains int) membership.Record {
	domain := domainName(number % domains)
	address := netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)})
	return membership.Record{
		Member:  id.Member{Instance: id.Instance(fmt.Sprintf("%s-entry-%04d", domain, number)), Incarnation: 1},
		Domain:  domain,
		Address: netip.AddrPortFrom(address, _peerPort),
		Status:  membership.Alive,
	}
}

// newService returns a service with its share of the targets: they are spread evenly over services and failure
// domains.
func newService(number int, size Size) bundle.Service {
	service := bundle.Service{Name: id.Service(fmt.Sprintf("service-%04d", number)), Customer: "customer"}
	service.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, 1}), uint16(1000+number))
	first, last := number*size.Targets/size.Services, (number+1)*size.Targets/size.Services
	for target := first; target < last; target++ {
		address := netip.AddrFrom4([4]byte{10, 1, byte(target >> 8), byte(target)})
		service.Targets = append(service.Targets, bundle.Target{
			Name:    id.Target(fmt.Sprintf("%s-%05d", service.Name, target)),
			Domain:  domainName(target % size.Domains),
			Address: netip.AddrPortFrom(address, _targetPort),
		})
	}
	return service
}

func (fleet *fleet) viewOf(domain id.Domain) epoch.View {
	view := epoch.View{Domain: domain, Number: 1}
	for _, record := range fleet.members {
		if record.Domain == domain {
			view.Members = append(view.Members, record.Member)
		}
	}
	slices.SortFunc(view.Members, func(left, right id.Member) int {
		return strings.Compare(string(left.Instance), string(right.Instance))
	})
	return view
}

// gossipedViews is the gossip value of a failure domain: its latest views, the one in force last.
type gossipedViews struct {
	Views []epoch.View `cbor:"1,keyasint"`
}

// gossipValue returns the gossip value that holds a view, without earlier views.
func gossipValue(view epoch.View) (gossip.Value, error) {
	data, err := cbor.Marshal(gossipedViews{Views: []epoch.View{view}})
	key := gossip.Key("Epochs/" + string(view.Domain))
	return gossip.Value{Key: key, Version: uint64(view.Number), Data: data}, eris.Wrap(err, "encode a view")
}

// sign signs the bundle and returns its head and parts.
func (fleet *fleet) sign() (bundle.Head, map[bundle.Hash][]byte, error) {
	signed, err := fleet.key.Sign(fleet.bundle, time.Unix(0, 0))
	if err != nil {
		return bundle.Head{}, nil, err
	}
	split, err := signed.Parts()
	parts := make(map[bundle.Hash][]byte, len(split))
	for _, part := range split {
		parts[part.Hash] = part.Bytes
	}
	return signed.Head, parts, err
}

// toggleDrain increments the version of the bundle and toggles one target of one service between active and draining.
func (fleet *fleet) toggleDrain() {
	fleet.bundle.Version++
	number := int(fleet.bundle.Version) % len(fleet.bundle.Services)
	target := &fleet.bundle.Services[number].Targets[0]
	if target.Mode == bundle.ModeDraining {
		target.Mode = bundle.ModeActive
		return
	}
	target.Mode = bundle.ModeDraining
}

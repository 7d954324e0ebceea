package bundle

import (
	"fmt"
)

// Assemble builds the bundle that the head describes from the encoded parts. It returns an error for missing
// parts, parts that do not match their hash, and bundles that do not validate.
func Assemble(head Head, parts map[Hash][]byte) (Bundle, error) {
	services := make(map[Hash]Service, len(head.Parts))
	for _, ref := range head.Parts {
		raw, ok := parts[ref.Hash]
		if !ok {
			return Bundle{}, &PartError{Hash: ref.Hash, Problem: "is missing"}
		}
		service, err := OpenPart(ref.Hash, raw)
		if err != nil {
			return Bundle{}, err
		}
		services[ref.Hash] = service
	}
	return JoinServices(head, services)
}

// JoinServices builds the bundle that the head describes from services that OpenPart has decoded, and validates it.
// The services are sorted by name.
func JoinServices(head Head, services map[Hash]Service) (Bundle, error) {
	joined := Bundle{Version: head.Version, Services: make([]Service, 0, len(head.Parts))}
	for _, ref := range head.Parts {
		service, ok := services[ref.Hash]
		if !ok {
			return Bundle{}, &PartError{Hash: ref.Hash, Problem: "is missing"}
		}
		if service.Name != ref.Service {
			problem := fmt.Sprintf("describes service %s, but the head lists it for service %s", service.Name, ref.Service)
			return Bundle{}, &PartError{Hash: ref.Hash, Problem: problem}
		}
		joined.Services = append(joined.Services, service)
	}
	return joined, joined.Validate()
}

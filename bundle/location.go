package bundle

import (
	"fmt"
)

// location identifies a field of a bundle. Its path is formatted only when there is a fault, because every instance
// validates bundles and most are valid.
type location struct {
	serviceIndex int
	targetIndex  int
	field        string
}

const _noIndex = -1

func topLevelField(field string) location {
	return location{serviceIndex: _noIndex, targetIndex: _noIndex, field: field}
}

func serviceField(service int, field string) location {
	return location{serviceIndex: service, targetIndex: _noIndex, field: field}
}

// String returns the path, as in Services[2].Targets[0].Address.
func (location location) String() string {
	switch {
	case location.serviceIndex == _noIndex:
		return location.field
	case location.targetIndex == _noIndex:
		return fmt.Sprintf("Services[%d].%s", location.serviceIndex, location.field)
	default:
		return fmt.Sprintf("Services[%d].Targets[%d].%s", location.serviceIndex, location.targetIndex, location.field)
	}
}

// withField returns the location of another field of the same object.
func (location location) withField(field string) location {
	location.field = field
	return location
}

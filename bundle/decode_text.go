package bundle

import (
	"encoding/json"
	"net/netip"

	"azureshift/core/id"
)

const _maxShownLength = 40

// describeFormat describes the values accepted by a field that is decoded into the given pointer.
func describeFormat(destination any) string {
	switch destination.(type) {
	case *netip.AddrPort:
		return `an IP address with a port, as in "192.0.2.1:5683"`
	case *id.Version:
		return "an integer of at least 1"
	case *int:
		return "an integer"
	case *[]json.RawMessage:
		return "a list, as in [ ... ]"
	default:
		return `a string, as in "chiosco"`
	}
}

// truncate shortens the value so that a message fits on one line.
func truncate(raw []byte) string {
	if len(raw) > _maxShownLength {
		return string(raw[:_maxShownLength]) + "..."
	}
	return string(raw)
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

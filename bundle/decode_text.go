package bundle

import (
	"encoding/json"
	"net/netip"

	"azureshift/core/id"
)

// _maxShownBytes is the number of bytes of an invalid value that an error message shows.
const _maxShownBytes = 40

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
		return `a string, as in "name"`
	}
}

// truncate cuts the value to _maxShownBytes bytes for an error message.
func truncate(raw []byte) string {
	if len(raw) > _maxShownBytes {
		return string(raw[:_maxShownBytes]) + "..."
	}
	return string(raw)
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

package bundle

import (
	"encoding/json"
)

// ParseAny reads a bundle from the JSON of an unsigned or a signed bundle.
func ParseAny(raw []byte) (Bundle, error) {
	var probe struct {
		Head json.RawMessage `json:"Head"`
	}
	if err := json.Unmarshal(raw, &probe); err != nil || probe.Head == nil {
		return Parse(raw)
	}
	signed, err := ParseSigned(raw)
	return signed.Bundle, err
}

// Encode returns the bundle as indented JSON.
func (bundle Bundle) Encode() ([]byte, error) {
	raw, err := json.MarshalIndent(bundle, "", "  ")
	return append(raw, '\n'), err
}

// CountTargets returns the total number of targets of all services.
func (bundle Bundle) CountTargets() int {
	count := 0
	for _, service := range bundle.Services {
		count += len(service.Targets)
	}
	return count
}

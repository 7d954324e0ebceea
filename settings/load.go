package settings

import (
	"reflect"

	"github.com/rotisserie/eris"

	"azureshift/io/file"
)

// Load reads settings from the file at path, fills in defaults and validates them.
func Load(path string) (Settings, error) {
	raw, err := file.Read(path)
	if err != nil {
		return Settings{}, eris.Wrapf(err, "read settings; check the path %q", path)
	}
	loaded, err := Parse(raw)
	return loaded, eris.Wrapf(err, "load settings from %s", path)
}

// Parse decodes settings from JSON, fills in defaults and validates them. Its error is a FaultList of all faults.
func Parse(raw []byte) (Settings, error) {
	var parsed Settings
	var faults FaultList
	decode(raw, "", reflect.ValueOf(&parsed), &faults)
	parsed = parsed.withDefaults()
	faults = mergeFaults(faults, parsed.faults())
	return parsed, faults.asError()
}

// Complete fills in defaults and validates settings that were built in code. Its error is a FaultList of all faults.
func (settings Settings) Complete() (Settings, error) {
	completed := settings.withDefaults()
	return completed, completed.faults().asError()
}

// mergeFaults appends the faults of fields that have none yet. A field that could not be decoded is zero or has its
// default, so a second fault of it would be misleading.
func mergeFaults(faults, more FaultList) FaultList {
	known := make(map[string]bool, len(faults))
	for _, fault := range faults {
		known[fault.Field] = true
	}
	for _, fault := range more {
		if !known[fault.Field] {
			faults = append(faults, fault)
		}
	}
	return faults
}

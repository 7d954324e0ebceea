package bundle

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// MaxFileSize is the maximum size of a bundle file in bytes.
const MaxFileSize = 32 << 20

const _remedyFields = "docs/BUNDLES.md lists the fields"

// Parse reads a bundle from JSON, fills in the defaults and validates it. The returned error is
// a FaultList with every fault found.
func Parse(raw []byte) (Bundle, error) {
	decoder := decoder{}
	parsed := decoder.bundle(raw)
	if decoder.unreadable {
		return parsed, decoder.err()
	}
	parsed = parsed.WithDefaults()
	validator := validator{faultCollector: decoder.faultCollector}
	validator.bundle(parsed)
	return parsed, validator.err()
}

// decoder decodes JSON object by object, so that every fault is reported with its path and a fault does not
// prevent the detection of later ones.
type decoder struct {
	faultCollector
	// unreadable is set if the file is not a complete JSON object; its content is then not validated.
	unreadable bool
}

// field is an expected member of a JSON object and the pointer to decode it into.
type field struct {
	name        string
	destination any
}

func (decoder *decoder) bundle(raw []byte) Bundle {
	var parsed Bundle
	if len(raw) > MaxFileSize {
		decoder.addUnreadable("", fmt.Sprintf("has %d bytes", len(raw)), fmt.Sprintf("use at most %d", MaxFileSize))
		return parsed
	}
	var services []json.RawMessage
	decoder.object("", raw, []field{{"Version", &parsed.Version}, {"Services", &services}})
	for index, service := range services {
		parsed.Services = append(parsed.Services, decoder.service(fmt.Sprintf("Services[%d]", index), service))
	}
	return parsed
}

func (decoder *decoder) service(path string, raw []byte) Service {
	var parsed Service
	var targets []json.RawMessage
	decoder.object(path, raw, []field{
		{"Name", &parsed.Name},
		{"Customer", &parsed.Customer},
		{"Address", &parsed.Address},
		{"Targets", &targets},
	})
	for index, target := range targets {
		parsed.Targets = append(parsed.Targets, decoder.target(fmt.Sprintf("%s.Targets[%d]", path, index), target))
	}
	return parsed
}

func (decoder *decoder) target(path string, raw []byte) Target {
	var parsed Target
	decoder.object(path, raw, []field{
		{"Name", &parsed.Name},
		{"Domain", &parsed.Domain},
		{"Address", &parsed.Address},
		{"Health", &parsed.Health},
		{"Slots", &parsed.Slots},
		{"Connections", &parsed.Connections},
		{"Mode", &parsed.Mode},
	})
	return parsed
}

// object decodes one JSON object whose members must be among fields, each at most once.
func (decoder *decoder) object(path string, raw []byte, fields []field) {
	stream := json.NewDecoder(bytes.NewReader(raw))
	token, err := stream.Token()
	if err != nil || token != json.Delim('{') {
		decoder.addUnreadable(path, "is not a JSON object", "write { ... }; "+_remedyFields)
		return
	}
	seen := make(map[string]struct{}, len(fields))
	for stream.More() {
		if !decoder.member(path, stream, fields, seen) {
			return
		}
	}
	if _, err := stream.Token(); err != nil {
		decoder.addSyntaxError(path, stream, err)
		return
	}
	if _, err := stream.Token(); !errors.Is(err, io.EOF) {
		decoder.addUnreadable(path, "is followed by more data", "keep one JSON object")
	}
}

// member decodes the next member of an object and reports whether decoding of the object can continue.
func (decoder *decoder) member(path string, stream *json.Decoder, fields []field, seen map[string]struct{}) bool {
	token, err := stream.Token()
	if err != nil {
		decoder.addSyntaxError(path, stream, err)
		return false
	}
	name, _ := token.(string)
	var value json.RawMessage
	if err := stream.Decode(&value); err != nil {
		decoder.addSyntaxError(path, stream, err)
		return false
	}
	where := joinPath(path, name)
	if _, ok := seen[name]; ok {
		decoder.add(where, "is a duplicate field", "remove one of them")
		return true
	}
	seen[name] = struct{}{}
	for _, field := range fields {
		if field.name == name {
			decoder.value(where, value, field.destination)
			return true
		}
	}
	decoder.add(where, "is an unknown field", "remove or rename it; "+_remedyFields)
	return true
}

func (decoder *decoder) value(path string, raw []byte, destination any) {
	if err := json.Unmarshal(raw, destination); err != nil {
		decoder.add(path, fmt.Sprintf("has the invalid value %s", truncate(raw)),
			fmt.Sprintf("write %s", describeFormat(destination)))
	}
}

func (decoder *decoder) addSyntaxError(path string, stream *json.Decoder, err error) {
	decoder.addUnreadable(path, fmt.Sprintf("is not valid JSON near byte %d (%v)", stream.InputOffset(), err),
		"correct the syntax there")
}

// addUnreadable adds a fault for an object that cannot be decoded. An empty path means the whole file.
func (decoder *decoder) addUnreadable(path, problem, remedy string) {
	if path == "" {
		path = "(file)"
		decoder.unreadable = true
	}
	decoder.add(path, problem, remedy)
}

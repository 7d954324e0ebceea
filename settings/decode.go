package settings

import (
	"encoding"
	"encoding/json"
	"reflect"
	"slices"
)

const _remedyObject = "write a JSON object"

// decode decodes raw into result, a pointer to a struct, field by field, so that it finds all faults and not only one.
func decode(raw []byte, path string, result reflect.Value, faults *FaultList) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(raw, &members); err != nil {
		faults.add(pathOrRoot(path), err.Error(), _remedyObject)
		return
	}
	fields := fieldsOf(result.Elem().Type())
	for _, name := range sortedNames(members) {
		index, ok := fields[name]
		fieldPath := join(path, name)
		if !ok {
			faults.add(fieldPath, "there is no such field", "remove it, or correct its name")
			continue
		}
		decodeField(members[name], fieldPath, result.Elem().Field(index).Addr(), faults)
	}
}

func decodeField(raw []byte, path string, result reflect.Value, faults *FaultList) {
	if isSection(result.Elem().Type()) {
		decode(raw, path, result, faults)
		return
	}
	if err := json.Unmarshal(raw, result.Interface()); err != nil {
		faults.add(path, err.Error(), "write it in the form given in docs/SETTINGS.md")
	}
}

// isSection reports whether a field of this type is a JSON object with fields of its own.
func isSection(fieldType reflect.Type) bool {
	_, isText := reflect.New(fieldType).Interface().(encoding.TextUnmarshaler)
	return fieldType.Kind() == reflect.Struct && !isText
}

// fieldsOf returns the index of each field, keyed by JSON name.
func fieldsOf(section reflect.Type) map[string]int {
	fields := make(map[string]int, section.NumField())
	for index := range section.NumField() {
		fields[section.Field(index).Tag.Get("json")] = index
	}
	return fields
}

func sortedNames(members map[string]json.RawMessage) []string {
	names := make([]string, 0, len(members))
	for name := range members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func pathOrRoot(path string) string {
	if path == "" {
		return "settings"
	}
	return path
}

package bundle

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

var errTrailingData = errors.New("trailing data after the JSON value")

// decodeStrict decodes a single JSON value and rejects unknown fields and trailing data.
func decodeStrict(raw []byte, destination any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(destination); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errTrailingData
	}
	return nil
}

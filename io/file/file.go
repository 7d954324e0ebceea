// Package file reads files of limited size.
package file

import (
	"io"
	"os"

	"github.com/rotisserie/eris"
)

// MaxSize is the size in bytes of the largest settings, key or other file that an operator writes for an instance.
const MaxSize = 64 << 10

// Read returns the content of the file at path. Its error names the remedy if the file has more than MaxSize bytes.
func Read(path string) ([]byte, error) {
	opened, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = opened.Close() }()
	raw, err := io.ReadAll(io.LimitReader(opened, MaxSize+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > MaxSize {
		return nil, eris.Errorf("%s has more than %d bytes; check that it is the right file, or shorten it", path, MaxSize)
	}
	return raw, nil
}

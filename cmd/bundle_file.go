package cmd

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"azureshift/bundle"
	"azureshift/cli"
)

const (
	_publicSuffix = ".pub"
	_privateMode  = 0o600
	_publicMode   = 0o644
)

// readFile reads an input file, up to one byte more than the maximum size of a bundle file.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, cli.Usagef("%s: %v; check the path", path, errors.Unwrap(err))
	}
	defer func() { _ = file.Close() }()
	raw, err := io.ReadAll(io.LimitReader(file, bundle.MaxFileSize+1))
	if err != nil {
		return nil, cli.Usagef("%s: %v; check that it is a regular file", path, errors.Unwrap(err))
	}
	return raw, nil
}

// parseFile reads and parses a file; errors include its path.
func parseFile[Content any](path string, parse func(raw []byte) (Content, error)) (Content, error) {
	var none Content
	raw, err := readFile(path)
	if err != nil {
		return none, err
	}
	parsed, err := parse(raw)
	if err != nil {
		return none, withPath(path, err)
	}
	return parsed, nil
}

// withPath returns a usage error that prefixes each fault of a file with its path, one per line.
func withPath(path string, err error) error {
	var faults bundle.FaultList
	if !errors.As(err, &faults) {
		return cli.Usagef("%s: %v", path, err)
	}
	usage := &cli.UsageError{}
	for _, fault := range faults {
		usage.Lines = append(usage.Lines, path+": "+fault.String())
	}
	return usage
}

// replaceFile writes a file atomically: it writes a temporary file and renames it.
func replaceFile(path string, raw []byte) error {
	file, err := os.CreateTemp(filepath.Dir(path), ".azureshift-*")
	if err != nil {
		return cli.Usagef("%s: %v; check that its directory exists and is writable", path, errors.Unwrap(err))
	}
	defer func() { _ = os.Remove(file.Name()) }()
	_, err = file.Write(raw)
	if err == nil {
		err = file.Chmod(_publicMode)
	}
	if err = errors.Join(err, file.Close()); err == nil {
		err = os.Rename(file.Name(), path)
	}
	return eris.Wrapf(err, "write %s; check the directory and its free space", path)
}

// createFile writes a new file. It returns an error if the file exists already.
func createFile(path string, raw []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return cli.Usagef("%s: %v; choose a new name in a writable directory", path, errors.Unwrap(err))
	}
	_, err = file.Write(raw)
	if err = errors.Join(err, file.Close()); err != nil {
		_ = os.Remove(path)
	}
	return eris.Wrapf(err, "write %s; check the free space", path)
}

// Package dragonflysamplefile reads files of samples and of slopes.
package dragonflysamplefile

import (
	"bytes"
	"os"

	"dragonflyrelay.example/dragonflybench/codecs/dragonflyresultjson"
	"dragonflyrelay.example/dragonflybench/values/dragonflysample"
	"dragonflyrelay.example/dragonflybench/values/dragonflyslope"
	"github.com/pkg/errors"
)

// Samples reads a file of samples, one a line. It ignores an incomplete last line,
// which a process leaves if it is stopped while it writes.
func Samples(path string) (out []dragonflysample.Sample, err error) {
	return readLines(path, dragonflyresultjson.UnmarshalSample)
}

// Slopes reads a file of slopes, one a line.
func Slopes(path string) (out []dragonflyslope.Slope, err error) {
	return readLines(path, dragonflyresultjson.UnmarshalSlope)
}

func readLines[T any](path string, parse func(raw []byte) (T, error)) (out []T, err error) {
	defer func() { err = errors.WithMessagef(err, "read %s", path) }()
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if i := bytes.LastIndexByte(raw, '\n'); i >= 0 {
		raw = raw[:i]
	}
	for n, line := range bytes.Split(raw, []byte{'\n'}) {
		v, err := parse(line)
		if err != nil {
			return nil, errors.WithMessagef(err, "line %d", n+1)
		}
		out = append(out, v)
	}
	if len(out) == 0 {
		return nil, errors.New("the file is empty")
	}
	return out, nil
}

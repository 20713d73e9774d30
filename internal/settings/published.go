package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Bounds of the limits that may be published.
const (
	minMemoryMB = 16
	maxMemoryMB = 1 << 20
	minSockets  = 32
	maxSockets  = 1 << 20
)

// Published is a configuration that operators publish for a fleet: a JSON object with settings, under the platform's names, and limits. It
// is merged over each driver's own file.
type Published struct {
	settings map[string]string // under the project's names
	MemoryMB int64             // 0: as in the driver's own file
	Sockets  int               // 0: as in the driver's own file
}

// publishedText is the JSON form of a published configuration.
type publishedText struct {
	Settings map[string]any
	Limits   struct {
		Memory  *int64 `json:"memory_mb"`
		Sockets *int
	}
}

// ParsePublished parses a published configuration and checks everything that does not depend on a driver's own file. The error names the
// first invalid value with its place.
func ParsePublished(text []byte) (*Published, error) {
	decoded, err := decodePublished(text)
	if err != nil {
		return nil, err
	}
	p := &Published{settings: Flatten(decoded.Settings)}
	if memory := decoded.Limits.Memory; memory != nil {
		if *memory < minMemoryMB || *memory > maxMemoryMB {
			return nil, fmt.Errorf("limits.memory_mb is %d: a number of MB from %d on is wanted", *memory, minMemoryMB)
		}
		p.MemoryMB = *memory
	}
	if sockets := decoded.Limits.Sockets; sockets != nil {
		if *sockets < minSockets || *sockets > maxSockets {
			return nil, fmt.Errorf("limits.sockets is %d: a number from %d on is wanted", *sockets, minSockets)
		}
		p.Sockets = *sockets
	}
	for _, path := range slices.Sorted(maps.Keys(p.settings)) {
		if err := checkSetting(path, p.settings[path]); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// decodePublished decodes a single JSON object without unknown keys.
func decodePublished(text []byte) (decoded publishedText, err error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&decoded); err != nil {
		return decoded, syntaxError(text, err, decoder.InputOffset())
	}
	end := decoder.InputOffset()
	if _, err := decoder.Token(); err != io.EOF {
		return decoded, fmt.Errorf("%s: more follows the object", position(text, end))
	}
	return decoded, nil
}

// checkSetting checks that a setting may be published with this value.
func checkSetting(path, value string) error {
	top, _, _ := strings.Cut(path, ".")
	if slices.Contains(driverSettings, top) {
		return fmt.Errorf("settings.%s is %q: it is each driver's own", platformPath(path), value)
	}
	kind, known := lookupKind(path)
	if !known {
		return fmt.Errorf("settings.%s is %q: there is no such setting", platformPath(path), value)
	}
	if !kind.valid(value) {
		return fmt.Errorf("settings.%s is %q: %s is wanted", platformPath(path), platformName(value), kind.description)
	}
	return nil
}

// syntaxError adds line and column to an error of the decoder.
func syntaxError(text []byte, err error, offset int64) error {
	var syntax *json.SyntaxError
	var typed *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = max(syntax.Offset-1, 0) // the offset is that of the byte after the faulty one
	case errors.As(err, &typed):
		want := "an object"
		if kind := typed.Type.Kind(); kind == reflect.Int || kind == reflect.Int64 {
			want = "a whole number"
		}
		found := strings.TrimSpace(typed.Field + " " + typed.Value)
		return fmt.Errorf("%s: %s stands where %s is wanted", position(text, max(typed.Offset-1, 0)), found, want)
	}
	return fmt.Errorf("%s: %w", position(text, offset), err)
}

// position returns the line and column of an offset, both counted from 1.
func position(text []byte, offset int64) string {
	before := text[:min(int(offset), len(text))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("%d:%d", line, column)
}

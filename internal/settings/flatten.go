package settings

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// ParseLines reads settings from lines of the form path=value, with the platform's names. Other lines are ignored.
func ParseLines(text string) map[string]string {
	values := make(map[string]string)
	for line := range strings.Lines(text) {
		path, value, found := strings.Cut(strings.TrimRight(line, "\r\n"), "=")
		if found {
			putRenamed(values, path, value)
		}
	}
	return values
}

// Flatten reads settings from a JSON object with the platform's names, whose numbers are json.Number. A list of objects gives a path for each
// index and a path "count"; a list of other values gives one value with commas.
func Flatten(object map[string]any) map[string]string {
	values := make(map[string]string)
	flattenInto(values, "", object)
	return values
}

func flattenInto(values map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, item := range v {
			flattenInto(values, strings.TrimPrefix(path+"."+name, "."), item)
		}
	case []any:
		flattenList(values, path, v)
	default:
		putRenamed(values, path, scalarText(v))
	}
}

func flattenList(values map[string]string, path string, list []any) {
	var scalars []string
	for i, item := range list {
		if _, isObject := item.(map[string]any); isObject {
			putRenamed(values, path+".count", strconv.Itoa(len(list)))
			flattenInto(values, path+"."+strconv.Itoa(i), item)
		} else {
			scalars = append(scalars, scalarText(item))
		}
	}
	if len(scalars) == len(list) {
		putRenamed(values, path, strings.Join(scalars, ","))
	}
}

// putRenamed stores a setting under the project's names. The value of a path ".name" was chosen by somebody, and stays.
func putRenamed(values map[string]string, path, value string) {
	path = renameParts(path, ".")
	if !strings.HasSuffix(path, ".name") {
		value = renameParts(value, ",")
	}
	values[path] = value
}

// separators have a meaning in lines and lists, and may not stand in a value.
var separators = strings.NewReplacer(" ", "_", ",", "_")

func scalarText(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case json.Number:
		return v.String()
	case string:
		return separators.Replace(v)
	}
	return fmt.Sprint(value)
}

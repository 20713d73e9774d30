package settings

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// ParseLines reads settings from lines of the form path=value with the platform's names. Other lines are ignored.
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

// Flatten reads settings from a JSON object with the platform's names; its numbers are json.Number. A list of objects becomes one path per
// index and a path "count"; a list of other values becomes one comma-separated value.
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

// putRenamed stores a setting with the project's names. The value of a path ".name" is a name that operators chose, and is not translated.
func putRenamed(values map[string]string, path, value string) {
	path = renameParts(path, ".")
	if !strings.HasSuffix(path, ".name") {
		value = renameParts(value, ",")
	}
	values[path] = value
}

// separators replaces characters that separate items in lines and lists, as a value must not contain them.
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

package features

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strings"
)

// checkStrict checks decoded JSON against a Go type. Objects may have only the fields of the type, by their exact
// names, and each value must have the JSON type of its field. This is needed because encoding/json ignores unknown
// fields and the case of names. path is the path of the value, with a leading dot; empty for the whole document.
func checkStrict(value any, t reflect.Type, path string) error {
	switch t.Kind() {
	case reflect.Struct:
		return checkStruct(value, t, path)
	case reflect.Slice:
		return checkSlice(value, t, path)
	case reflect.Map:
		return checkMap(value, t, path)
	case reflect.String:
		_, ok := value.(string)
		return checkKind(ok, value, path, "a string")
	case reflect.Bool:
		_, ok := value.(bool)
		return checkKind(ok, value, path, "true or false")
	case reflect.Float64:
		_, ok := value.(float64)
		return checkKind(ok, value, path, "a number")
	case reflect.Int, reflect.Int64:
		return checkKind(isInteger(value), value, path, "a whole number")
	}
	return fmt.Errorf("%s: internal error: Go fields of kind %s are not supported", path, t.Kind())
}

func checkStruct(value any, t reflect.Type, path string) error {
	object, ok := value.(map[string]any)
	if !ok {
		return checkKind(false, value, path, "an object")
	}
	fields := map[string]reflect.Type{}
	collectFields(t, fields)
	for _, name := range slices.Sorted(maps.Keys(object)) {
		fieldType, known := fields[name]
		if !known {
			return fieldError(strings.TrimPrefix(path+"."+name, "."), "unknown field; the fields are %s",
				strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
		}
		if err := checkStrict(object[name], fieldType, path+"."+name); err != nil {
			return err
		}
	}
	return nil
}

func checkSlice(value any, t reflect.Type, path string) error {
	list, ok := value.([]any)
	if !ok {
		return checkKind(false, value, path, "a list")
	}
	for i, element := range list {
		if err := checkStrict(element, t.Elem(), fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	return nil
}

func checkMap(value any, t reflect.Type, path string) error {
	object, ok := value.(map[string]any)
	if !ok {
		return checkKind(false, value, path, "an object")
	}
	for _, name := range slices.Sorted(maps.Keys(object)) {
		if err := checkStrict(object[name], t.Elem(), path+"["+name+"]"); err != nil {
			return err
		}
	}
	return nil
}

// isInteger reports whether a value is a whole number with a magnitude of at most 2^53. Up to this magnitude, float64
// represents all whole numbers exactly.
func isInteger(value any) bool {
	n, ok := value.(float64)
	return ok && n == math.Trunc(n) && math.Abs(n) <= 1<<53
}

// maxValueBytes is the maximum length of a value in an error message; longer ones are truncated.
const maxValueBytes = 60

// checkKind returns nil if ok, else an error that names the field, its value and the required kind.
func checkKind(ok bool, value any, path, kind string) error {
	if ok {
		return nil
	}
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if len(text) > maxValueBytes {
		text = append(text[:maxValueBytes-3:maxValueBytes-3], "..."...)
	}
	return fieldError(strings.TrimPrefix(path, "."), "%s is not %s", text, kind)
}

// collectFields adds the fields of a struct and of its embedded structs to fields, which maps JSON names to types.
func collectFields(t reflect.Type, fields map[string]reflect.Type) {
	for i := range t.NumField() {
		field := t.Field(i)
		if field.Anonymous {
			collectFields(field.Type, fields)
			continue
		}
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fields[name] = field.Type
	}
}

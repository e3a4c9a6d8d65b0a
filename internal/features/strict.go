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

// checkStrict checks decoded JSON against a Go type, which encoding/json does not do strictly: objects may have only
// the type's fields, by their exact names, and values must be of the fields' kinds. path is the value's path with a
// leading dot.
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
	return fmt.Errorf("%s: fields of kind %s are not supported", path, t.Kind())
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
			return fieldError(strings.TrimPrefix(path+"."+name, "."), "no such field; fields are %s",
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

// isInteger reports whether a value is a whole number that a float64 holds exactly.
func isInteger(value any) bool {
	n, ok := value.(float64)
	return ok && n == math.Trunc(n) && math.Abs(n) <= 1<<53
}

// maxValueBytes bounds the text of a value in an error.
const maxValueBytes = 60

// checkKind returns an error that names the field, its value and the kind that it must have, unless ok.
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

// collectFields adds the fields of a struct and of those embedded in it, by their names in JSON.
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

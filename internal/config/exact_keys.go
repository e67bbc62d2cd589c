package config

import (
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// unmarshalTOML decodes a TOML file into the struct that value points to. Keys are compared exactly, as TOML
// requires; the library by itself also accepts a key that differs in case, and a key of a later version could
// then replace a known one.
func unmarshalTOML(raw []byte, value any) error {
	var table map[string]any
	if err := toml.Unmarshal(raw, &table); err != nil {
		return err
	}
	if !removeCaseVariants(table, reflect.TypeOf(value).Elem()) {
		return toml.Unmarshal(raw, value)
	}
	exact, err := toml.Marshal(table)
	if err != nil {
		return err
	}
	return toml.Unmarshal(exact, value)
}

// removeCaseVariants removes the keys of a table that differ from a key of the struct type in case only. It
// includes the tables within the table, and reports whether it removed any key.
func removeCaseVariants(table map[string]any, structType reflect.Type) bool {
	removed := false
	for key, value := range table {
		field, exact := fieldForKey(structType, key)
		switch {
		case field == nil:
		case !exact:
			delete(table, key)
			removed = true
		default:
			removed = removeFromValue(value, field.Type) || removed
		}
	}
	return removed
}

// removeFromValue calls removeCaseVariants for a table, or for each table of a list.
func removeFromValue(value any, fieldType reflect.Type) bool {
	removed := false
	switch value := value.(type) {
	case map[string]any:
		if fieldType.Kind() == reflect.Struct {
			removed = removeCaseVariants(value, fieldType)
		}
	case []any:
		if fieldType.Kind() != reflect.Slice {
			return false
		}
		for _, element := range value {
			removed = removeFromValue(element, fieldType.Elem()) || removed
		}
	}
	return removed
}

// fieldForKey returns the field of a struct type with the given key, or else one whose key differs in case
// only, or nil. exact reports whether the key is the field's own.
func fieldForKey(structType reflect.Type, key string) (found *reflect.StructField, exact bool) {
	for i := range structType.NumField() {
		field := structType.Field(i)
		switch fieldKey := field.Tag.Get("toml"); {
		case fieldKey == key:
			return &field, true
		case strings.EqualFold(fieldKey, key):
			found = &field
		}
	}
	return found, false
}

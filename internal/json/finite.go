package json

import (
	"math"
	"reflect"
)

// finiteCopy returns a copy of a value in which each floating-point number that JSON can't hold is replaced:
// an infinite number by the largest finite one of its sign, and NaN by 0.
func finiteCopy(value any) any {
	if value == nil {
		return nil
	}
	return finiteValue(reflect.ValueOf(value)).Interface()
}

// finiteValue is finiteCopy for a reflected value.
func finiteValue(value reflect.Value) reflect.Value {
	result := reflect.New(value.Type()).Elem()
	result.Set(value)
	switch value.Kind() {
	case reflect.Float32, reflect.Float64:
		result.SetFloat(finiteNumber(value.Float()))
	case reflect.Pointer:
		if !value.IsNil() {
			result.Set(reflect.New(value.Type().Elem()))
			result.Elem().Set(finiteValue(value.Elem()))
		}
	case reflect.Interface:
		if !value.IsNil() {
			result.Set(finiteValue(value.Elem()))
		}
	case reflect.Struct:
		for i := range value.NumField() {
			if value.Type().Field(i).IsExported() {
				result.Field(i).Set(finiteValue(value.Field(i)))
			}
		}
	case reflect.Slice:
		if !value.IsNil() {
			result.Set(reflect.MakeSlice(value.Type(), value.Len(), value.Len()))
			for i := range value.Len() {
				result.Index(i).Set(finiteValue(value.Index(i)))
			}
		}
	case reflect.Map:
		if !value.IsNil() {
			result.Set(reflect.MakeMapWithSize(value.Type(), value.Len()))
			for _, key := range value.MapKeys() {
				result.SetMapIndex(key, finiteValue(value.MapIndex(key)))
			}
		}
	}
	return result
}

// finiteNumber returns the nearest number that JSON can hold, and 0 for NaN.
func finiteNumber(number float64) float64 {
	if math.IsNaN(number) {
		return 0
	}
	return min(max(number, -math.MaxFloat64), math.MaxFloat64)
}

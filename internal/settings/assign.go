package settings

import (
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/samphirepath/samphirepath/api"
)

var durationType = reflect.TypeFor[api.Duration]()

// assign stores the value of a key in the settings, or reports why it is invalid.
func (l *loader) assign(kv keyValue) {
	if l.inInvalidTable(kv.key) {
		return
	}
	field, found := fieldByKey(reflect.ValueOf(&l.settings).Elem(), kv.key)
	if !found {
		l.report(kv.key, "unknown key")
		return
	}
	switch {
	case field.Type() == durationType:
		l.assignDuration(field, kv)
	case field.Kind() == reflect.Struct:
		l.report(kv.key, "must be a table, not %s", kindName(kv.value.kind))
	case field.Kind() == reflect.Slice:
		l.assignList(field, kv)
	case field.Kind() == reflect.String:
		if l.checkKind(kv, unstable.String) {
			field.SetString(kv.value.text)
		}
	default:
		l.assignInteger(field, kv)
	}
}

// fieldByKey returns the field for a dotted key, following the toml tags.
func fieldByKey(v reflect.Value, key string) (reflect.Value, bool) {
	for _, part := range strings.Split(key, ".") {
		if v.Kind() != reflect.Struct {
			return reflect.Value{}, false
		}
		index := -1
		for i := range v.NumField() {
			if v.Type().Field(i).Tag.Get("toml") == part {
				index = i
				break
			}
		}
		if index < 0 {
			return reflect.Value{}, false
		}
		v = v.Field(index)
	}
	return v, true
}

func (l *loader) checkKind(kv keyValue, expected unstable.Kind) bool {
	if kv.value.kind == expected {
		return true
	}
	l.report(kv.key, "must be %s, not %s", kindName(expected), kindName(kv.value.kind))
	return false
}

func (l *loader) assignDuration(field reflect.Value, kv keyValue) {
	if kv.value.kind == unstable.Integer || kv.value.kind == unstable.Float {
		l.report(kv.key, "needs a unit: write \"%sms\" or \"%ss\"", kv.value.text, kv.value.text)
		return
	}
	if !l.checkKind(kv, unstable.String) {
		return
	}
	d, err := time.ParseDuration(kv.value.text)
	if err != nil {
		l.report(kv.key, "%q is not a duration with a unit such as \"250ms\" or \"1m30s\"", kv.value.text)
		return
	}
	field.SetInt(int64(d))
}

func (l *loader) assignInteger(field reflect.Value, kv keyValue) {
	if !l.checkKind(kv, unstable.Integer) {
		return
	}
	n, err := strconv.ParseInt(kv.value.text, 0, field.Type().Bits())
	if err != nil {
		l.report(kv.key, "%s is out of range", kv.value.text)
		return
	}
	field.SetInt(n)
}

func (l *loader) assignList(field reflect.Value, kv keyValue) {
	if !l.checkKind(kv, unstable.Array) {
		return
	}
	list := make([]string, 0, len(kv.value.elements))
	for _, element := range kv.value.elements {
		if element.kind != unstable.String {
			l.report(kv.key, "must hold strings, not %s", kindName(element.kind))
			return
		}
		list = append(list, element.text)
	}
	field.Set(reflect.ValueOf(list))
}

func kindName(kind unstable.Kind) string {
	switch kind {
	case unstable.String:
		return "a string"
	case unstable.Integer:
		return "an integer"
	case unstable.Float:
		return "a decimal number"
	case unstable.Bool:
		return "true or false"
	case unstable.Array:
		return "a list"
	case unstable.InlineTable, unstable.Table:
		return "a table"
	default:
		return "a date or time"
	}
}

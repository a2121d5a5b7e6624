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

// assign stores the value of a key in the settings or reports why it cannot.
func (l *loader) assign(it item) {
	if l.insideBad(it.key) {
		return
	}
	field, found := fieldOf(reflect.ValueOf(&l.settings).Elem(), it.key)
	if !found {
		l.report(it.key, "unknown key")
		return
	}
	switch {
	case field.Type() == durationType:
		l.assignDuration(field, it)
	case field.Kind() == reflect.Struct:
		l.report(it.key, "must be a table, not %s", kindName(it.value.kind))
	case field.Kind() == reflect.Slice:
		l.assignList(field, it)
	case field.Kind() == reflect.String:
		if l.wantKind(it, unstable.String) {
			field.SetString(it.value.text)
		}
	default:
		l.assignInteger(field, it)
	}
}

// fieldOf finds the field whose toml tags spell the key.
func fieldOf(v reflect.Value, key string) (reflect.Value, bool) {
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

func (l *loader) wantKind(it item, want unstable.Kind) bool {
	if it.value.kind == want {
		return true
	}
	l.report(it.key, "must be %s, not %s", kindName(want), kindName(it.value.kind))
	return false
}

func (l *loader) assignDuration(field reflect.Value, it item) {
	if it.value.kind == unstable.Integer || it.value.kind == unstable.Float {
		l.report(it.key, "needs a unit: write \"%sms\" or \"%ss\"", it.value.text, it.value.text)
		return
	}
	if !l.wantKind(it, unstable.String) {
		return
	}
	d, err := time.ParseDuration(it.value.text)
	if err != nil {
		l.report(it.key, "%q is not a duration with a unit such as \"250ms\" or \"1m30s\"", it.value.text)
		return
	}
	field.SetInt(int64(d))
}

func (l *loader) assignInteger(field reflect.Value, it item) {
	if !l.wantKind(it, unstable.Integer) {
		return
	}
	n, err := strconv.ParseInt(it.value.text, 0, field.Type().Bits())
	if err != nil {
		l.report(it.key, "%s is out of range", it.value.text)
		return
	}
	field.SetInt(n)
}

func (l *loader) assignList(field reflect.Value, it item) {
	if !l.wantKind(it, unstable.Array) {
		return
	}
	list := make([]string, 0, len(it.value.elements))
	for _, element := range it.value.elements {
		if element.kind != unstable.String {
			l.report(it.key, "must hold strings, not %s", kindName(element.kind))
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

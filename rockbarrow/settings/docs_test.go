// SPDX-License-Identifier: MIT

package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// keysOf returns the paths of all keys of a settings type.
func keysOf(t reflect.Type, prefix string) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		key := prefix + f.Tag.Get("toml")
		switch f.Type.Kind() {
		case reflect.Struct:
			out = append(out, keysOf(f.Type, key+".")...)
		case reflect.Slice:
			out = append(out, keysOf(f.Type.Elem(), key+".")...)
		default:
			out = append(out, key)
		}
	}
	return out
}

func TestEveryKeyIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range keysOf(reflect.TypeFor[Settings](), "") {
		if !strings.Contains(string(page), "`"+key+"`") {
			t.Errorf("docs/OPERATIONS.md lacks the key %s", key)
		}
	}
}

package config

import (
	"fmt"
	"io"
	"reflect"
	"strings"
)

// Show writes every value in force as settings that Parse accepts, each with
// its description as a comment. A secret is written as a comment with a
// placeholder for its value.
//
//	{
//	  // name of this host, unique in the deployment
//	  "HostName": "host-1",
//	  ...
//	}
func Show(w io.Writer, s Settings) error {
	var b strings.Builder
	b.WriteString("{\n")
	showFields(&b, reflect.ValueOf(s), "  ")
	b.WriteString("}\n")
	_, err := io.WriteString(w, b.String())
	return err
}

func showFields(b *strings.Builder, v reflect.Value, indent string) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		fmt.Fprintf(b, "%s// %s\n", indent, field.Tag.Get("about"))
		showValue(b, field.Name, v.Field(i), indent)
	}
}

func showValue(b *strings.Builder, name string, v reflect.Value, indent string) {
	if v.Kind() == reflect.Struct {
		fmt.Fprintf(b, "%s%q: {\n", indent, name)
		showFields(b, v, indent+"  ")
		fmt.Fprintf(b, "%s},\n", indent)
		return
	}
	if secret, ok := v.Interface().(Secret); ok {
		fmt.Fprintf(b, "%s// %q: %s\n", indent, name, secret)
		return
	}
	if v.Kind() == reflect.String {
		fmt.Fprintf(b, "%s%q: %q,\n", indent, name, v.String())
		return
	}
	fmt.Fprintf(b, "%s%q: %d,\n", indent, name, v.Int())
}

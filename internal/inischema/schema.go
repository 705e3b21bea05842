// Package inischema decodes INI files into protobuf messages according to a
// schema, which defines the sections and keys with their units, defaults and
// allowed values. All errors in a file are reported at once.
package inischema

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// Key describes one key of a section. Its name is the name of the message field
// that it is decoded into.
type Key struct {
	Name string
	// Unit is the unit of the value, for example "ms", or empty.
	Unit string
	// Default is the value if the key is missing. If it is empty, the field
	// has its zero value.
	Default string
	// Required means that the key must be present.
	Required bool
	// Allowed is the rule for the value, or for each element of a list.
	Allowed Rule
	// Help describes the purpose of the key in one line.
	Help string
	// Secret means that the value must not be shown in errors and diffs.
	Secret bool
}

// Section describes one type of section. A section with Named set has the header
// "[section name]" and may occur once for each name.
type Section struct {
	Name string
	// Named means that the header contains a name, which is decoded into the
	// message's field "name".
	Named bool
	Help  string
	Keys  []Key
}

// Key returns the description of the key with the given name.
func (s Section) Key(name string) (Key, bool) {
	for _, k := range s.Keys {
		if k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

// Error is one error in a file.
type Error struct {
	// Section is the header of the section without brackets, and Key the name
	// of the key, which is empty if the error concerns the whole section.
	Section, Key string
	// Value is the invalid value, or empty.
	Value string
	// Problem describes the error, and Allowed what is allowed instead.
	Problem, Allowed string
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[%s]", e.Section)
	if e.Key != "" {
		fmt.Fprintf(&b, " %s", e.Key)
	}
	if e.Value != "" {
		fmt.Fprintf(&b, " = %q", e.Value)
	}
	fmt.Fprintf(&b, ": %s", e.Problem)
	if e.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", e.Allowed)
	}
	return b.String()
}

// Errors are all errors in a file.
type Errors []*Error

// Error implements error.
func (e Errors) Error() string {
	return strings.Join(e.Lines(), "\n")
}

// Lines returns the text of each error.
func (e Errors) Lines() []string {
	lines := make([]string, 0, len(e))
	for _, err := range e {
		lines = append(lines, err.Error())
	}
	return lines
}

// Err returns e as an error, or nil if it is empty.
func (e Errors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// EnumText returns the text that represents an enum value in files: its name in
// lower case, without the prefix that all values of the enum share.
func EnumText(values protoreflect.EnumValueDescriptors, number protoreflect.EnumNumber) string {
	value := values.ByNumber(number)
	if value == nil {
		return ""
	}
	prefix := strings.TrimSuffix(string(values.Get(0).Name()), "UNSPECIFIED")
	return strings.ToLower(strings.TrimPrefix(string(value.Name()), prefix))
}

package inischema

import (
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gopkg.in/ini.v1"
)

// listSeparator separates the elements of a list.
const listSeparator = ","

// RawSection is one section of a file before it is decoded.
type RawSection struct {
	// Type is the first word of the header, and Name the rest of it.
	Type, Name string
	Pairs      []KeyValue
}

// KeyValue is a key of a section with its value.
type KeyValue struct{ Key, Value string }

// Header returns the header of the section without brackets.
func (r RawSection) Header() string {
	return strings.TrimSpace(r.Type + " " + r.Name)
}

// ParseSections splits a file into sections. It reports keys that are outside of
// a section or given twice.
func ParseSections(data []byte) ([]RawSection, Errors) {
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
		AllowNonUniqueSections:     true,
		IgnoreContinuation:         true,
	}, data)
	if err != nil {
		return nil, Errors{{Section: "file", Problem: err.Error()}}
	}
	var parsedSections []RawSection
	var errs Errors
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection {
			errs = append(errs, keysOutsideSection(section)...)
			continue
		}
		parsed, sectionErrs := convertSection(section)
		parsedSections = append(parsedSections, parsed)
		errs = append(errs, sectionErrs...)
	}
	return parsedSections, errs
}

// keysOutsideSection returns an error for each key of section, which holds the
// keys before the first header.
func keysOutsideSection(section *ini.Section) Errors {
	var errs Errors
	for _, key := range section.Keys() {
		errs = append(errs, &Error{Section: "", Key: key.Name(), Value: key.Value(), Problem: "key outside of a section"})
	}
	return errs
}

// convertSection converts a section. It reports keys that are given twice.
func convertSection(section *ini.Section) (RawSection, Errors) {
	var errs Errors
	sectionType, name, _ := strings.Cut(strings.TrimSpace(section.Name()), " ")
	converted := RawSection{Type: sectionType, Name: strings.TrimSpace(name)}
	for _, key := range section.Keys() {
		if len(key.ValueWithShadows()) > 1 {
			errs = append(errs, &Error{Section: converted.Header(), Key: key.Name(), Problem: "key given twice"})
		}
		converted.Pairs = append(converted.Pairs, KeyValue{Key: key.Name(), Value: key.Value()})
	}
	return converted, errs
}

// Decode sets the fields of msg from a section of a file, and those of missing
// keys to their defaults. It returns all errors in the section.
func Decode(section Section, raw RawSection, msg proto.Message) Errors {
	errs := decodeName(section, raw, msg)
	given := make(map[string]bool, len(raw.Pairs))
	for _, pair := range raw.Pairs {
		given[pair.Key] = true
		key, ok := section.Key(pair.Key)
		if !ok {
			errs = append(errs, UnknownKeyError(section, raw, pair))
			continue
		}
		if err := Set(msg, key, pair.Value); err != nil {
			err.Section = raw.Header()
			if key.Secret {
				err.Value = ""
			}
			errs = append(errs, err)
		}
	}
	for _, key := range section.Keys {
		if given[key.Name] {
			continue
		}
		if key.Required {
			errs = append(errs, &Error{Section: raw.Header(), Key: key.Name, Problem: "missing", Allowed: key.Allowed.String()})
			continue
		}
		SetDefault(msg, key)
	}
	return errs
}

// decodeName validates the header of a section and sets the field "name" of msg.
func decodeName(section Section, raw RawSection, msg proto.Message) Errors {
	switch {
	case !section.Named && raw.Name != "":
		return Errors{{Section: raw.Header(), Problem: "section takes no name", Allowed: "[" + section.Name + "]"}}
	case !section.Named:
		return nil
	case !Name.Check(raw.Name):
		return Errors{{Section: raw.Header(), Problem: "bad name in the header", Allowed: Name.String()}}
	}
	ref := msg.ProtoReflect()
	ref.Set(ref.Descriptor().Fields().ByName("name"), protoreflect.ValueOfString(raw.Name))
	return nil
}

// UnknownKeyError returns the error for a key that the section does not have.
func UnknownKeyError(section Section, raw RawSection, pair KeyValue) *Error {
	names := make([]string, 0, len(section.Keys))
	for _, key := range section.Keys {
		names = append(names, key.Name)
	}
	return &Error{Section: raw.Header(), Key: pair.Key, Problem: "unknown key", Allowed: strings.Join(names, ", ")}
}

// SetDefault sets the field of a key to its default. It panics if the default is
// invalid.
func SetDefault(msg proto.Message, key Key) {
	if key.Default == "" {
		return
	}
	if err := Set(msg, key, key.Default); err != nil {
		panic(fmt.Sprintf("inischema: default of %s: %v", key.Name, err))
	}
}

// Set sets the field of a key from its text. The error does not name the
// section. Set panics if msg has no such field.
func Set(msg proto.Message, key Key, text string) *Error {
	ref := msg.ProtoReflect()
	field := ref.Descriptor().Fields().ByName(protoreflect.Name(key.Name))
	if field == nil {
		panic(fmt.Sprintf("inischema: %s has no field %s", ref.Descriptor().FullName(), key.Name))
	}
	if field.IsList() {
		return setList(ref, field, key, text)
	}
	if text == "" && !key.Required && canBeEmpty(field) {
		ref.Clear(field)
		return nil
	}
	value, ok := parse(field, key.Allowed, text)
	if !ok {
		return &Error{Key: key.Name, Value: text, Problem: "not allowed", Allowed: key.Allowed.String()}
	}
	ref.Set(field, value)
	return nil
}

// canBeEmpty reports whether an empty text represents the field's zero value.
func canBeEmpty(field protoreflect.FieldDescriptor) bool {
	return field.Kind() == protoreflect.StringKind || field.Kind() == protoreflect.EnumKind
}

// setList sets a repeated field from a list of values.
func setList(ref protoreflect.Message, field protoreflect.FieldDescriptor, key Key, text string) *Error {
	list := ref.Mutable(field).List()
	list.Truncate(0)
	if text == "" {
		return nil
	}
	for element := range strings.SplitSeq(text, listSeparator) {
		element = strings.TrimSpace(element)
		value, ok := parse(field, key.Allowed, element)
		if !ok {
			allowed := "a list, separated by commas, of " + key.Allowed.String()
			return &Error{Key: key.Name, Value: element, Problem: "not allowed", Allowed: allowed}
		}
		list.Append(value)
	}
	return nil
}

// parse converts a text to a value of the field's kind, and reports whether the
// rule allows it.
func parse(field protoreflect.FieldDescriptor, rule Rule, text string) (protoreflect.Value, bool) {
	if !rule.Check(text) {
		return protoreflect.Value{}, false
	}
	switch field.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(text), true
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(text == "true"), true
	case protoreflect.DoubleKind:
		f, err := strconv.ParseFloat(text, 64)
		return protoreflect.ValueOfFloat64(f), err == nil
	case protoreflect.Int32Kind:
		n, err := strconv.ParseInt(text, 10, 32)
		return protoreflect.ValueOfInt32(int32(n)), err == nil
	case protoreflect.Int64Kind:
		n, err := strconv.ParseInt(text, 10, 64)
		return protoreflect.ValueOfInt64(n), err == nil
	case protoreflect.EnumKind:
		return parseEnum(field.Enum().Values(), text)
	default:
		panic(fmt.Sprintf("inischema: field %s has kind %s", field.FullName(), field.Kind()))
	}
}

// parseEnum returns the enum value with the given text.
func parseEnum(values protoreflect.EnumValueDescriptors, text string) (protoreflect.Value, bool) {
	for i := range values.Len() {
		number := values.Get(i).Number()
		if EnumText(values, number) == text {
			return protoreflect.ValueOfEnum(number), true
		}
	}
	return protoreflect.Value{}, false
}

package inischema

import (
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gopkg.in/ini.v1"
)

// listSeparator stands between the elements of a list.
const listSeparator = ","

// RawSection is one section of a file as it was written.
type RawSection struct {
	// Type is the first word of the header, Name the rest.
	Type, Name string
	Pairs      []KeyValue
}

// KeyValue is one key with its text.
type KeyValue struct{ Key, Value string }

// Header returns the header without its brackets.
func (b RawSection) Header() string {
	return strings.TrimSpace(b.Type + " " + b.Name)
}

// ParseSections splits a file into blocks. It reports keys outside of a section
// and keys given twice.
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
	var blocks []RawSection
	var errs Errors
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection {
			errs = append(errs, outside(section)...)
			continue
		}
		block, twice := readBlock(section)
		blocks = append(blocks, block)
		errs = append(errs, twice...)
	}
	return blocks, errs
}

// outside reports the keys that stand before any section.
func outside(section *ini.Section) Errors {
	var errs Errors
	for _, key := range section.Keys() {
		errs = append(errs, &Error{Section: "", Key: key.Name(), Value: key.Value(), Problem: "key outside of a section"})
	}
	return errs
}

func readBlock(section *ini.Section) (RawSection, Errors) {
	var errs Errors
	kind, name, _ := strings.Cut(strings.TrimSpace(section.Name()), " ")
	block := RawSection{Type: kind, Name: strings.TrimSpace(name)}
	for _, key := range section.Keys() {
		if len(key.ValueWithShadows()) > 1 {
			errs = append(errs, &Error{Section: block.Header(), Key: key.Name(), Problem: "key given twice"})
		}
		block.Pairs = append(block.Pairs, KeyValue{Key: key.Name(), Value: key.Value()})
	}
	return block, errs
}

// Decode fills msg from a block, with defaults for keys left out, and reports
// everything that is wrong with it.
func Decode(section Section, block RawSection, msg proto.Message) Errors {
	errs := decodeName(section, block, msg)
	given := make(map[string]bool, len(block.Pairs))
	for _, pair := range block.Pairs {
		given[pair.Key] = true
		key, ok := section.Key(pair.Key)
		if !ok {
			errs = append(errs, UnknownKeyError(section, block, pair))
			continue
		}
		if err := Set(msg, key, pair.Value); err != nil {
			err.Section = block.Header()
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
			errs = append(errs, &Error{Section: block.Header(), Key: key.Name, Problem: "missing", Allowed: key.Allowed.String()})
			continue
		}
		SetDefault(msg, key)
	}
	return errs
}

// decodeName checks the header of a block and fills the field "name".
func decodeName(section Section, block RawSection, msg proto.Message) Errors {
	switch {
	case !section.Named && block.Name != "":
		return Errors{{Section: block.Header(), Problem: "section takes no name", Allowed: "[" + section.Name + "]"}}
	case !section.Named:
		return nil
	case !Name.Check(block.Name):
		return Errors{{Section: block.Header(), Problem: "bad name in the header", Allowed: Name.String()}}
	}
	ref := msg.ProtoReflect()
	ref.Set(ref.Descriptor().Fields().ByName("name"), protoreflect.ValueOfString(block.Name))
	return nil
}

// UnknownKeyError returns the error for a key that the section does not have.
func UnknownKeyError(section Section, block RawSection, pair KeyValue) *Error {
	names := make([]string, 0, len(section.Keys))
	for _, key := range section.Keys {
		names = append(names, key.Name)
	}
	return &Error{Section: block.Header(), Key: pair.Key, Problem: "unknown key", Allowed: strings.Join(names, ", ")}
}

// SetDefault fills a field with the default of its key.
func SetDefault(msg proto.Message, key Key) {
	if key.Default == "" {
		return
	}
	if err := Set(msg, key, key.Default); err != nil {
		panic(fmt.Sprintf("inischema: default of %s: %v", key.Name, err))
	}
}

// Set fills the field of a key from its text. The error has no section.
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

// canBeEmpty tells whether an empty text stands for the zero value.
func canBeEmpty(field protoreflect.FieldDescriptor) bool {
	return field.Kind() == protoreflect.StringKind || field.Kind() == protoreflect.EnumKind
}

func setList(ref protoreflect.Message, field protoreflect.FieldDescriptor, key Key, text string) *Error {
	list := ref.Mutable(field).List()
	list.Truncate(0)
	if text == "" {
		return nil
	}
	for one := range strings.SplitSeq(text, listSeparator) {
		one = strings.TrimSpace(one)
		value, ok := parse(field, key.Allowed, one)
		if !ok {
			allowed := "a list, separated by commas, of " + key.Allowed.String()
			return &Error{Key: key.Name, Value: one, Problem: "not allowed", Allowed: allowed}
		}
		list.Append(value)
	}
	return nil
}

// parse turns a text that the rule allows into a value of the field.
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

func parseEnum(values protoreflect.EnumValueDescriptors, text string) (protoreflect.Value, bool) {
	for i := range values.Len() {
		number := values.Get(i).Number()
		if EnumText(values, number) == text {
			return protoreflect.ValueOfEnum(number), true
		}
	}
	return protoreflect.Value{}, false
}

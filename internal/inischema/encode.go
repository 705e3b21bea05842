package inischema

import (
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Encode is the inverse of Decode. It omits optional keys whose value is the
// default.
func Encode(section Section, msg proto.Message) RawSection {
	raw := RawSection{Type: section.Name}
	ref := msg.ProtoReflect()
	fields := ref.Descriptor().Fields()
	if section.Named {
		raw.Name = ref.Get(fields.ByName("name")).String()
	}
	for _, key := range section.Keys {
		text := FieldText(ref, fields.ByName(protoreflect.Name(key.Name)))
		if key.Required || text != DefaultText(ref, key) {
			raw.Pairs = append(raw.Pairs, KeyValue{Key: key.Name, Value: text})
		}
	}
	return raw
}

// DefaultText returns the text that represents the default of a key. It differs
// from Key.Default if that is empty: the text then represents the field's zero
// value.
func DefaultText(ref protoreflect.Message, key Key) string {
	empty := ref.New()
	SetDefault(empty.Interface(), key)
	return FieldText(empty, empty.Descriptor().Fields().ByName(protoreflect.Name(key.Name)))
}

// FieldText returns the text that represents the value of a field in a file.
func FieldText(ref protoreflect.Message, field protoreflect.FieldDescriptor) string {
	if !field.IsList() {
		return valueText(field, ref.Get(field))
	}
	list := ref.Get(field).List()
	texts := make([]string, 0, list.Len())
	for i := range list.Len() {
		texts = append(texts, valueText(field, list.Get(i)))
	}
	return strings.Join(texts, listSeparator+" ")
}

func valueText(field protoreflect.FieldDescriptor, value protoreflect.Value) string {
	switch field.Kind() {
	case protoreflect.EnumKind:
		if value.Enum() == 0 {
			return ""
		}
		return EnumText(field.Enum().Values(), value.Enum())
	case protoreflect.DoubleKind:
		return formatFloat(value.Float())
	case protoreflect.BoolKind:
		return strconv.FormatBool(value.Bool())
	default:
		return value.String()
	}
}

// Write appends the section to out in the format of a file.
func (r RawSection) Write(out *strings.Builder) {
	fmt.Fprintf(out, "[%s]\n", r.Header())
	for _, pair := range r.Pairs {
		fmt.Fprintf(out, "%s = %s\n", pair.Key, pair.Value)
	}
}

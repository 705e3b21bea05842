package config

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/inischema"
)

// ChangeKind is the kind of a Change.
type ChangeKind int

// Kinds of changes.
const (
	// Added: the section is new.
	Added ChangeKind = iota + 1
	// Removed: the section no longer exists.
	Removed
	// Changed: the value of a key differs.
	Changed
)

// Change is one difference between two deployments.
type Change struct {
	Kind ChangeKind
	// Section and Name identify the section.
	Section, Name string
	// Key, Old and New are set for Changed. An empty value means that the key
	// is absent.
	Key, Old, New string
	// Secret is set if Old and New must not be shown.
	Secret bool
}

// String returns the change as one line, without secret values.
func (c Change) String() string {
	header := inischema.RawSection{Type: c.Section, Name: c.Name}.Header()
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ [%s]", header)
	case Removed:
		return fmt.Sprintf("- [%s]", header)
	}
	if c.Secret {
		return fmt.Sprintf("~ [%s] %s changed", header, c.Key)
	}
	return fmt.Sprintf("~ [%s] %s: %q -> %q", header, c.Key, c.Old, c.New)
}

// FormatChanges returns one line for each change.
func FormatChanges(changes []Change) []string {
	lines := make([]string, 0, len(changes))
	for _, c := range changes {
		lines = append(lines, c.String())
	}
	return lines
}

// Diff returns the changes that lead from a to b, in canonical order. A nil
// deployment has no sections.
func Diff(a, b *configv1.Deployment) []Change {
	var changes []Change
	for _, section := range Sections() {
		changes = append(changes, diffSection(section, rawSections(a, section), rawSections(b, section))...)
	}
	return changes
}

// rawSections returns the sections of one kind, ordered by name.
func rawSections(d *configv1.Deployment, section inischema.Section) []inischema.RawSection {
	if d == nil {
		return nil
	}
	var list []inischema.RawSection
	for _, item := range items(d, section.Name) {
		list = append(list, inischema.Encode(section, item))
	}
	return list
}

func diffSection(section inischema.Section, a, b []inischema.RawSection) []Change {
	var changes []Change
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && a[0].Name < b[0].Name:
			changes = append(changes, Change{Kind: Removed, Section: section.Name, Name: a[0].Name})
			a = a[1:]
		case len(a) == 0 || b[0].Name < a[0].Name:
			changes = append(changes, Change{Kind: Added, Section: section.Name, Name: b[0].Name})
			b = b[1:]
		default:
			changes = append(changes, diffKeys(section, a[0], b[0])...)
			a, b = a[1:], b[1:]
		}
	}
	return changes
}

func diffKeys(section inischema.Section, a, b inischema.RawSection) []Change {
	var changes []Change
	for _, key := range section.Keys {
		before, after := value(a, key.Name), value(b, key.Name)
		if before != after {
			changes = append(changes, Change{Kind: Changed, Section: section.Name, Name: a.Name, Key: key.Name, Old: before, New: after, Secret: key.Secret})
		}
	}
	return changes
}

func value(raw inischema.RawSection, key string) string {
	for _, pair := range raw.Pairs {
		if pair.Key == key {
			return pair.Value
		}
	}
	return ""
}

// Equal reports whether two deployments are equal.
func Equal(a, b *configv1.Deployment) bool { return proto.Equal(a, b) }

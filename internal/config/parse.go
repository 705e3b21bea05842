package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/inischema"
)

// Parse parses and validates a deployment file. An error is of type
// inischema.Errors and lists every problem found.
func Parse(data []byte) (*configv1.Deployment, error) {
	if len(data) > MaxFileBytes {
		problem := fmt.Sprintf("file has %d bytes", len(data))
		return nil, inischema.Errors{{Section: "file", Problem: problem, Allowed: fmt.Sprintf("at most %d", MaxFileBytes)}}
	}
	sections, errs := inischema.ParseSections(data)
	d := &configv1.Deployment{}
	seen := make(map[string]bool, len(sections))
	for _, raw := range sections {
		if seen[raw.Header()] {
			errs = append(errs, &inischema.Error{Section: raw.Header(), Problem: "section given twice"})
			continue
		}
		seen[raw.Header()] = true
		errs = append(errs, parseSection(d, raw)...)
	}
	if !seen[deploymentSection.Name] {
		errs = append(errs, &inischema.Error{Section: deploymentSection.Name, Problem: "missing section"})
	}
	if !seen[defaultsSection.Name] {
		parseSection(d, inischema.RawSection{Type: defaultsSection.Name})
	}
	fillRoles(d)
	sortItems(d)
	errs = append(errs, validate(d)...)
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// parseSection decodes one section of the file into d and returns its errors.
func parseSection(d *configv1.Deployment, raw inischema.RawSection) inischema.Errors {
	for _, section := range Sections() {
		if section.Name == raw.Type {
			return inischema.Decode(section, raw, newItem(d, section.Name))
		}
	}
	return inischema.Errors{{Section: raw.Header(), Problem: "unknown section", Allowed: sectionNames()}}
}

func sectionNames() string {
	var names []string
	for _, section := range Sections() {
		name := section.Name
		if section.Named {
			name += " NAME"
		}
		names = append(names, "["+name+"]")
	}
	return strings.Join(names, ", ")
}

// fillRoles sets the role mixed for engines without a role.
func fillRoles(d *configv1.Deployment) {
	kinds := serviceKinds(d)
	for _, s := range d.GetBackendServers() {
		if kinds[s.GetService()] == configv1.ServiceKind_SERVICE_KIND_MODEL && s.GetRole() == configv1.Role_ROLE_UNSPECIFIED {
			s.Role = configv1.Role_ROLE_MIXED
		}
	}
}

func serviceKinds(d *configv1.Deployment) map[string]configv1.ServiceKind {
	kinds := make(map[string]configv1.ServiceKind, len(d.GetServices()))
	for _, s := range d.GetServices() {
		kinds[s.GetName()] = s.GetKind()
	}
	return kinds
}

// sortItems sorts the items of each section by name.
func sortItems(d *configv1.Deployment) {
	sortNamed(d.FailureDomains)
	sortNamed(d.Models)
	sortNamed(d.Services)
	sortNamed(d.BackendServers)
	sortNamed(d.Clients)
}

// named is a message of a section with a name.
type named interface{ GetName() string }

func sortNamed[M named](list []M) {
	slices.SortFunc(list, func(a, b M) int { return cmp.Compare(a.GetName(), b.GetName()) })
}

// Render returns the canonical file of a deployment. Parsing it yields an equal
// deployment.
func Render(d *configv1.Deployment) []byte {
	var out strings.Builder
	for _, section := range Sections() {
		for _, item := range items(d, section.Name) {
			if out.Len() > 0 {
				out.WriteByte('\n')
			}
			inischema.Encode(section, item).Write(&out)
		}
	}
	return []byte(out.String())
}

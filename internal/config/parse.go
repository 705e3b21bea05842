package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	configv1 "github.com/marigoldwing/marigoldwing/api/config/v1"
	"github.com/marigoldwing/marigoldwing/internal/inischema"
)

// Parse reads a deployment file and checks it whole. The error is
// inischema.Errors with everything that is wrong.
func Parse(data []byte) (*configv1.Deployment, error) {
	if len(data) > MaxFileBytes {
		problem := fmt.Sprintf("file has %d bytes", len(data))
		return nil, inischema.Errors{{Section: "file", Problem: problem, Allowed: fmt.Sprintf("at most %d", MaxFileBytes)}}
	}
	blocks, errs := inischema.ParseSections(data)
	d := &configv1.Deployment{}
	seen := make(map[string]bool, len(blocks))
	for _, block := range blocks {
		if seen[block.Header()] {
			errs = append(errs, &inischema.Error{Section: block.Header(), Problem: "section given twice"})
			continue
		}
		seen[block.Header()] = true
		errs = append(errs, parseBlock(d, block)...)
	}
	if !seen[deploymentSection.Name] {
		errs = append(errs, &inischema.Error{Section: deploymentSection.Name, Problem: "missing section"})
	}
	if !seen[defaultsSection.Name] {
		parseBlock(d, inischema.RawSection{Type: defaultsSection.Name})
	}
	fillRoles(d)
	sortItems(d)
	errs = append(errs, check(d)...)
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

func parseBlock(d *configv1.Deployment, block inischema.RawSection) inischema.Errors {
	for _, section := range Sections() {
		if section.Name == block.Type {
			return inischema.Decode(section, block, newItem(d, section.Name))
		}
	}
	return inischema.Errors{{Section: block.Header(), Problem: "unknown section", Allowed: sectionNames()}}
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

// fillRoles gives engines without a role the role mixed.
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

// sortItems puts the items of each section in the order of their names.
func sortItems(d *configv1.Deployment) {
	sortNamed(d.FailureDomains)
	sortNamed(d.Models)
	sortNamed(d.Services)
	sortNamed(d.BackendServers)
	sortNamed(d.Clients)
}

// named is a message of a named section.
type named interface{ GetName() string }

func sortNamed[M named](list []M) {
	slices.SortFunc(list, func(a, b M) int { return cmp.Compare(a.GetName(), b.GetName()) })
}

// Render returns the canonical file of a deployment: Parse turns it into an
// equal deployment.
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

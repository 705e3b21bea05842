package docs

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/config"
	"github.com/marigoldwing/marigoldwing/internal/inischema"
	"github.com/marigoldwing/marigoldwing/internal/settings"
)

// update rewrites the tables of the page: go test ./docs -update
var update = flag.Bool("update", false, "rewrite the tables of OPERATIONS.md")

const page = "OPERATIONS.md"

// TestOperationsPageAgreesWithTheSchema checks the tables of all keys.
func TestOperationsPageAgreesWithTheSchema(t *testing.T) {
	text := readPage(t)
	tables := map[string][]inischema.Section{
		"settings":        {settings.ProcessSection, settings.EntrySection, settings.AgentSection, settings.GatewaySection},
		"deployment file": config.Sections(),
	}
	for name, sections := range tables {
		begin, end := fmt.Sprintf("<!-- begin %s -->\n", name), fmt.Sprintf("<!-- end %s -->", name)
		before, rest, ok := strings.Cut(text, begin)
		require.True(t, ok, begin)
		_, after, ok := strings.Cut(rest, end)
		require.True(t, ok, end)
		want := before + begin + render(sections) + end + after
		if *update {
			text = want
			continue
		}
		require.Equal(t, want, text, "run: go test ./docs -update")
	}
	if *update {
		require.NoError(t, os.WriteFile(page, []byte(text), 0o644))
	}
}

func render(sections []inischema.Section) string {
	var out strings.Builder
	for _, section := range sections {
		header := section.Name
		if section.Named {
			header += " NAME"
		}
		fmt.Fprintf(&out, "\n#### `[%s]`\n\n%s\n\n", header, section.Help)
		out.WriteString("| key | meaning | unit | default | allowed |\n|---|---|---|---|---|\n")
		for _, key := range section.Keys {
			fallback := key.Default
			if key.Required {
				fallback = "required"
			}
			allowed := strings.ReplaceAll(key.Allowed.String(), "|", "\\|")
			fmt.Fprintf(&out, "| `%s` | %s | %s | %s | %s |\n", key.Name, key.Help, key.Unit, fallback, allowed)
		}
	}
	out.WriteString("\n")
	return out.String()
}

// TestOperationsPageNamesEveryRefusal checks that each reason is described.
func TestOperationsPageNamesEveryRefusal(t *testing.T) {
	text := readPage(t)
	for number, name := range peerv1.RefusalReason_name {
		if number == 0 {
			continue
		}
		reason := strings.ToLower(strings.TrimPrefix(name, "REFUSAL_REASON_"))
		require.True(t, strings.Contains(text, "`"+reason+"`"), reason)
	}
}

// TestOperationsPageNamesEveryMetric checks the page against the names in the
// code.
func TestOperationsPageNamesEveryMetric(t *testing.T) {
	text := readPage(t)
	metric := regexp.MustCompile(`"(marigold_[a-z_]+)"`)
	for _, dir := range processDirs {
		for _, source := range sources(t, filepath.Join("..", "internal", dir)) {
			for _, m := range metric.FindAllStringSubmatch(source, -1) {
				require.True(t, strings.Contains(text, "`"+m[1]), "metric %s of %s", m[1], dir)
			}
		}
	}
}

// TestOperationsPageNamesEveryEvent checks that each log event is described
// with its fields, and that packages write log lines only through package
// logevent.
func TestOperationsPageNamesEveryEvent(t *testing.T) {
	text := readPage(t)
	message := regexp.MustCompile(`(?:info|detail|failure|event|message:)[( ]"([^"]+)"`)
	field := regexp.MustCompile(`(?:slog\.[A-Z][A-Za-z0-9]+\(|milliseconds\(|withText\(|[kK]ey[A-Za-z]+ += )"([a-z_]+)"`)
	events, fields := 0, 0
	for _, source := range sources(t, filepath.Join("..", "internal", "logevent")) {
		for _, m := range message.FindAllStringSubmatch(source, -1) {
			events++
			require.True(t, strings.Contains(text, "`"+m[1]+"`"), "log event %q", m[1])
		}
		for _, m := range field.FindAllStringSubmatch(source, -1) {
			fields++
			require.True(t, strings.Contains(text, "`"+m[1]+"`"), "field %q", m[1])
		}
	}
	require.Greater(t, events, 40, "events are found in the source")
	require.Greater(t, fields, 50, "fields are found in the source")
	line := regexp.MustCompile(`\.(?:Info|Error)\((?:[a-z]+, )?"([^"]+)"`)
	for _, dir := range processDirs {
		for _, source := range sources(t, filepath.Join("..", "internal", dir)) {
			require.Nil(t, line.FindStringSubmatch(source), "%s writes a line that package logevent does not know", dir)
		}
	}
}

// processDirs are the packages whose logs and metrics operators read.
var processDirs = []string{"agent", "entry", "gateway", "ledger", "peerrpc", "gatewaypeers", "process", "registry", "dissemination", "telemetry"}

// sources returns the texts of a package's files but for its tests.
func sources(t *testing.T, dir string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	require.NoError(t, err)
	require.NotEmpty(t, files, dir)
	var texts []string
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		data, err := os.ReadFile(name)
		require.NoError(t, err)
		texts = append(texts, string(data))
	}
	return texts
}

func readPage(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile(page)
	require.NoError(t, err)
	return string(data)
}

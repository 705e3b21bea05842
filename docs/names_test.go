package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// otherNames are code spans that look like Go names but name something else.
var otherNames = map[string]string{"leaseMs": "field of the platform, rendered into order_lease_ms by deploy/gateway.ini.tmpl"}

var (
	codeSpan   = regexp.MustCompile("(?s)```.*?```|`[^`]+`")
	repoPath   = regexp.MustCompile(`(?:^|[\s./])((?:internal|cmd|platform|test|scripts|docs|deploy|examples)/[\w./*-]*)`)
	testName   = regexp.MustCompile(`\b(?:Test|Benchmark|Fuzz)[A-Z]\w*`)
	goName     = regexp.MustCompile(`^(\w+(?:\.\w+)*)(?:\(.*\).*|/<\w+>)?$`)
	goShape    = regexp.MustCompile(`(?:^|\.)[A-Z]\w*[a-z]|^[a-z]+[A-Z]|\.go$`)
	goTest     = regexp.MustCompile(`go test [^\n#;]*`)
	flagValue  = regexp.MustCompile(`-(run|bench|fuzz) ('[^']*'|"[^"]*"|\S+)`)
	packageArg = regexp.MustCompile(`\s\./(\S*)`)
	baseName   = regexp.MustCompile(`\w+`)
	untracked  = regexp.MustCompile(`^\.\./(?:bin|out|target)$|/\.\w`)
	jsonField  = regexp.MustCompile(`json:"(\w+)`)
)

// goIndex is what the Go files of the module declare.
type goIndex struct {
	names     map[string]bool     // file.go, Name, Type.Member, and the last two with the package in front
	packages  map[string]bool     // names of the module's packages
	libraries map[string]bool     // last elements of import paths
	texts     map[string]bool     // string literals and JSON fields
	functions map[string][]string // names of functions by directory
}

// TestNamesOnPagesExist checks the paths, tests, patterns of go test commands
// and Go names that the pages mention as code.
func TestNamesOnPagesExist(t *testing.T) {
	index := readModule(t)
	pages, _ := filepath.Glob("*.md")
	designs, _ := filepath.Glob("design/*.md")
	pages = append(append(pages, designs...), "../README.md")
	spans := 0
	for _, page := range pages {
		data, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, at := range codeSpan.FindAllIndex(data, -1) {
			spans++
			for _, problem := range index.check(string(data[at[0]:at[1]])) {
				t.Errorf("%s:%d: %s", page, 1+strings.Count(string(data[:at[0]]), "\n"), problem)
			}
		}
	}
	require.Greater(t, spans, 500, "code spans are found")
}

// check returns what is wrong with one code span or fenced block. Single names
// are checked in spans only, as blocks hold output and files of other kinds.
func (x *goIndex) check(span string) (problems []string) {
	text := strings.ReplaceAll(strings.Trim(span, "`"), `\|`, "|")
	inline := !strings.HasPrefix(span, "```")
	if inline {
		text = strings.ReplaceAll(text, "\n", " ")
	}
	for _, m := range repoPath.FindAllStringSubmatch(text, -1) {
		if found, _ := filepath.Glob(filepath.Join("..", strings.TrimRight(m[1], "./"))); len(found) == 0 {
			problems = append(problems, "no path "+m[1])
		}
	}
	for _, name := range testName.FindAllString(text, -1) {
		if !x.names[name] {
			problems = append(problems, "no test "+name)
		}
	}
	for _, command := range goTest.FindAllString(text, -1) {
		for _, m := range flagValue.FindAllStringSubmatch(command, -1) {
			for _, pattern := range strings.Split(strings.Trim(m[2], `'"`), "|") {
				if !x.selects(command, m[1], pattern) {
					problems = append(problems, "-"+m[1]+" "+pattern+" selects nothing: "+command)
				}
			}
		}
	}
	m := goName.FindStringSubmatch(text)
	if inline && m != nil && goShape.MatchString(m[1]) && !testName.MatchString(m[1]) && !x.known(m[1]) {
		problems = append(problems, "no name "+m[1])
	}
	return problems
}

// known reports whether a name is declared in the module, is a text of its
// code (a JSON field, a status condition), is the short name of a benchmark, or
// belongs to an imported library.
func (x *goIndex) known(name string) bool {
	if x.names[name] || x.texts[name] || x.names["Benchmark"+name] || otherNames[name] != "" {
		return true
	}
	left, _, qualified := strings.Cut(name, ".")
	return qualified && x.libraries[left] && !x.packages[left]
}

// selects reports whether a pattern of a go test command selects a function in
// the packages of the command. The pattern xxx is for selecting none.
func (x *goIndex) selects(command, flag, pattern string) bool {
	prefix := map[string]string{"run": "Test", "bench": "Benchmark", "fuzz": "Fuzz"}[flag]
	top, err := regexp.Compile(strings.Split(pattern, "/")[0])
	if err != nil || strings.EqualFold(pattern, "xxx") {
		return err == nil
	}
	for _, arg := range packageArg.FindAllStringSubmatch(command, -1) {
		parent, tree := strings.CutSuffix(arg[1], "...")
		for dir, names := range x.functions {
			in := dir == strings.TrimSuffix(parent, "/") || tree && strings.HasPrefix(dir, parent)
			if in && slices.ContainsFunc(names, func(name string) bool { return strings.HasPrefix(name, prefix) && top.MatchString(name) }) {
				return true
			}
		}
	}
	return false
}

func readModule(t *testing.T) *goIndex {
	t.Helper()
	x := &goIndex{map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string]bool{}, map[string][]string{}}
	require.NoError(t, filepath.WalkDir("..", func(file string, entry fs.DirEntry, err error) error {
		if err == nil && entry.IsDir() && untracked.MatchString(filepath.ToSlash(file)) {
			return filepath.SkipDir
		}
		if err != nil || entry.IsDir() || !strings.HasSuffix(file, ".go") {
			return err
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err == nil {
			x.names[filepath.Base(file)] = true
			x.add(strings.TrimPrefix(filepath.ToSlash(filepath.Dir(file)), "../"), parsed)
		}
		return err
	}))
	return x
}

// add records the declarations, imports and texts of one file.
func (x *goIndex) add(dir string, file *ast.File) {
	pkg := strings.TrimSuffix(file.Name.Name, "_test")
	x.packages[pkg] = true
	declare := func(name string) { x.names[name], x.names[pkg+"."+name] = true, true }
	declareAll := func(prefix string, names []*ast.Ident) {
		for _, name := range names {
			declare(prefix + name.Name)
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.BlockStmt: // local names don't count
			return false
		case *ast.FuncDecl:
			if node.Recv != nil {
				declare(baseName.FindString(types.ExprString(node.Recv.List[0].Type)) + "." + node.Name.Name)
				break
			}
			declare(node.Name.Name)
			x.functions[dir] = append(x.functions[dir], node.Name.Name)
		case *ast.ImportSpec:
			x.libraries[path.Base(strings.Trim(node.Path.Value, `"`))] = true
		case *ast.ValueSpec:
			declareAll("", node.Names)
		case *ast.TypeSpec:
			declare(node.Name.Name)
			ast.Inspect(node.Type, func(part ast.Node) bool {
				if field, ok := part.(*ast.Field); ok {
					declareAll(node.Name.Name+".", field.Names)
				}
				return true
			})
		}
		return true
	})
	ast.Inspect(file, func(node ast.Node) bool {
		if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			text, _ := strconv.Unquote(literal.Value)
			x.texts[text] = true
			for _, m := range jsonField.FindAllStringSubmatch(text, -1) {
				x.texts[m[1]] = true
			}
		}
		return true
	})
}

package settings

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"google.golang.org/protobuf/proto"

	settingsv1 "github.com/marigoldwing/marigoldwing/api/settings/v1"
	"github.com/marigoldwing/marigoldwing/internal/inischema"
)

// EnvPrefix begins the names of environment variables: the key peer_address
// is set by MARIGOLD_PEER_ADDRESS.
const EnvPrefix = "MARIGOLD"

// CommandLine is what the command line asks for beside the settings.
type CommandLine struct {
	// CheckOnly is set by -check: stop after the settings have been checked.
	CheckOnly bool
	// ConfigFile is the settings file, empty when there is none.
	ConfigFile string
}

// LoadEntry returns the settings of marigold-entry from the command line
// arguments (without the program's name), the environment and the file that
// -config names. The error is inischema.Errors when settings are wrong, and
// flag.ErrHelp after -h.
func LoadEntry(args []string) (*settingsv1.Entry, CommandLine, error) {
	entry := &settingsv1.Entry{Process: &settingsv1.Process{}}
	mode, err := load("marigold-entry", args, []part{
		{ProcessSection, entry.Process},
		{EntrySection, entry},
	}, func() inischema.Errors { return checkProcess(entry.GetProcess()) })
	return entry, mode, err
}

// LoadAgent is LoadEntry for marigold-agent.
func LoadAgent(args []string) (*settingsv1.Agent, CommandLine, error) {
	agent := &settingsv1.Agent{Process: &settingsv1.Process{}}
	mode, err := load("marigold-agent", args, []part{
		{ProcessSection, agent.Process},
		{AgentSection, agent},
	}, func() inischema.Errors { return checkAgent(agent) })
	return agent, mode, err
}

// LoadGateway is LoadEntry for marigold-gateway.
func LoadGateway(args []string) (*settingsv1.Gateway, CommandLine, error) {
	gateway := &settingsv1.Gateway{}
	mode, err := load("marigold-gateway", args, []part{{GatewaySection, gateway}}, func() inischema.Errors { return nil })
	return gateway, mode, err
}

// part is a section and the message that it fills.
type part struct {
	section inischema.Section
	msg     proto.Message
}

// load parses flags, environment and file, and checks everything.
func load(program string, args []string, parts []part, check func() inischema.Errors) (CommandLine, error) {
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	var mode CommandLine
	fs.StringVar(&mode.ConfigFile, "config", "", "settings `file` (INI)")
	fs.BoolVar(&mode.CheckOnly, "check", false, "check the settings and stop")
	defineFlags(fs, parts)
	file := &fileParser{parts: parts}
	err := ff.Parse(fs, args,
		ff.WithEnvVarPrefix(EnvPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(file.parse),
	)
	if err != nil {
		return mode, fmt.Errorf("settings: %w", err)
	}
	errs := append(file.errs, fill(fs, parts)...)
	if len(errs) == 0 {
		errs = check()
	}
	return mode, errs.Err()
}

// textValue is a flag that keeps its text; the text is checked later, so that
// all errors are reported at once.
type textValue struct {
	text string
	set  bool
	// isBool lets the flag stand without a value.
	isBool bool
}

// Set implements flag.Value.
func (v *textValue) Set(text string) error {
	v.text, v.set = text, true
	return nil
}

// String implements flag.Value.
func (v *textValue) String() string { return v.text }

// IsBoolFlag lets the flag package accept "-planner" for "-planner=true".
func (v *textValue) IsBoolFlag() bool { return v.isBool }

func defineFlags(fs *flag.FlagSet, parts []part) {
	for _, p := range parts {
		for _, key := range p.section.Keys {
			usage := fmt.Sprintf("[%s] %s Allowed: %s.", p.section.Name, key.Help, key.Allowed)
			choice, _ := key.Allowed.(inischema.Choice)
			isBool := len(choice) == 2 && choice.Check("true")
			fs.Var(&textValue{text: key.Default, isBool: isBool}, flagName(key.Name), usage)
		}
	}
}

func flagName(key string) string { return strings.ReplaceAll(key, "_", "-") }

// fileParser hands the pairs of a settings file to ff and keeps the errors.
type fileParser struct {
	parts []part
	errs  inischema.Errors
}

func (p *fileParser) parse(r io.Reader, set func(name, value string) error) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	blocks, errs := inischema.ParseSections(data)
	p.errs = append(p.errs, errs...)
	seen := make(map[string]bool)
	for _, block := range blocks {
		if seen[block.Header()] {
			p.errs = append(p.errs, &inischema.Error{Section: block.Header(), Problem: "section given twice"})
		}
		seen[block.Header()] = true
		if err := p.parseBlock(block, set); err != nil {
			return err
		}
	}
	return nil
}

func (p *fileParser) parseBlock(block inischema.RawSection, set func(name, value string) error) error {
	section, ok := p.section(block.Header())
	if !ok {
		p.errs = append(p.errs, &inischema.Error{Section: block.Header(), Problem: "unknown section", Allowed: p.sectionNames()})
		return nil
	}
	for _, pair := range block.Pairs {
		if _, ok := section.Key(pair.Key); !ok {
			p.errs = append(p.errs, inischema.UnknownKeyError(section, block, pair))
			continue
		}
		if err := set(flagName(pair.Key), pair.Value); err != nil {
			return err
		}
	}
	return nil
}

func (p *fileParser) section(header string) (inischema.Section, bool) {
	for _, one := range p.parts {
		if one.section.Name == header {
			return one.section, true
		}
	}
	return inischema.Section{}, false
}

func (p *fileParser) sectionNames() string {
	names := make([]string, 0, len(p.parts))
	for _, one := range p.parts {
		names = append(names, "["+one.section.Name+"]")
	}
	return strings.Join(names, ", ")
}

// fill moves the texts of the flags into the messages.
func fill(fs *flag.FlagSet, parts []part) inischema.Errors {
	var errs inischema.Errors
	for _, p := range parts {
		block := inischema.RawSection{Type: p.section.Name}
		for _, key := range p.section.Keys {
			value := fs.Lookup(flagName(key.Name)).Value.(*textValue)
			if value.set {
				block.Pairs = append(block.Pairs, inischema.KeyValue{Key: key.Name, Value: value.text})
			}
		}
		errs = append(errs, inischema.Decode(p.section, block, p.msg)...)
	}
	return errs
}

// checkProcess checks what concerns several keys.
func checkProcess(p *settingsv1.Process) inischema.Errors {
	var errs inischema.Errors
	if p.GetHttpAddress() == p.GetPeerAddress() {
		errs = append(errs, wrong("process", "peer_address", p.GetPeerAddress(), "same as http_address", "an address of its own"))
	}
	if netip.MustParseAddrPort(p.GetPeerAddress()).Addr().IsUnspecified() {
		errs = append(errs, wrong("process", "peer_address", p.GetPeerAddress(), "other processes can't reach it", "an IP address of this instance, with port"))
	}
	return errs
}

func checkAgent(a *settingsv1.Agent) inischema.Errors {
	errs := checkProcess(a.GetProcess())
	exclusive := a.GetExclusiveAddress()
	if exclusive == a.GetProcess().GetHttpAddress() || exclusive == a.GetProcess().GetPeerAddress() {
		errs = append(errs, wrong("agent", "exclusive_address", exclusive, "same as another listener", "an address of its own"))
	}
	return errs
}

func wrong(section, key, value, problem, allowed string) *inischema.Error {
	return &inischema.Error{Section: section, Key: key, Value: value, Problem: problem, Allowed: allowed}
}

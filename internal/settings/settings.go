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

// EnvPrefix is the prefix of environment variables. For example, the variable
// MARIGOLD_PEER_ADDRESS sets the key peer_address.
const EnvPrefix = "MARIGOLD"

// CommandLine holds the options of the command line that are not settings.
type CommandLine struct {
	// CheckOnly is set by -check: the process only validates its settings.
	CheckOnly bool
	// ConfigFile is the path of the settings file, or "" if there is none.
	ConfigFile string
}

// LoadEntry loads the settings of marigold-entry from the command line arguments
// (without the program's name), the environment and the file given by -config.
// It returns inischema.Errors if settings are invalid, and an error that wraps
// flag.ErrHelp if the arguments contain -h.
func LoadEntry(args []string) (*settingsv1.Entry, CommandLine, error) {
	entry := &settingsv1.Entry{Process: &settingsv1.Process{}}
	commandLine, err := load("marigold-entry", args, []part{
		{ProcessSection, entry.Process},
		{EntrySection, entry},
	}, func() inischema.Errors { return checkProcess(entry.GetProcess()) })
	return entry, commandLine, err
}

// LoadAgent loads the settings of marigold-agent like LoadEntry.
func LoadAgent(args []string) (*settingsv1.Agent, CommandLine, error) {
	agent := &settingsv1.Agent{Process: &settingsv1.Process{}}
	commandLine, err := load("marigold-agent", args, []part{
		{ProcessSection, agent.Process},
		{AgentSection, agent},
	}, func() inischema.Errors { return checkAgent(agent) })
	return agent, commandLine, err
}

// LoadGateway loads the settings of marigold-gateway like LoadEntry.
func LoadGateway(args []string) (*settingsv1.Gateway, CommandLine, error) {
	gateway := &settingsv1.Gateway{}
	commandLine, err := load("marigold-gateway", args, []part{{GatewaySection, gateway}}, func() inischema.Errors { return nil })
	return gateway, commandLine, err
}

// part is a section with the message that its keys are decoded into.
type part struct {
	section inischema.Section
	msg     proto.Message
}

// load parses flags, environment variables and the settings file into the parts.
// If there are no other errors, it calls check for rules that concern several
// keys.
func load(program string, args []string, parts []part, check func() inischema.Errors) (CommandLine, error) {
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	var commandLine CommandLine
	fs.StringVar(&commandLine.ConfigFile, "config", "", "settings `file` (INI)")
	fs.BoolVar(&commandLine.CheckOnly, "check", false, "check the settings and exit")
	defineFlags(fs, parts)
	file := &fileParser{parts: parts}
	err := ff.Parse(fs, args,
		ff.WithEnvVarPrefix(EnvPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(file.parse),
	)
	if err != nil {
		return commandLine, fmt.Errorf("settings: %w", err)
	}
	errs := append(file.errs, fill(fs, parts)...)
	if len(errs) == 0 {
		errs = check()
	}
	return commandLine, errs.Err()
}

// textValue is a flag that stores its text unparsed. The text is validated
// later, so that all errors are reported at once.
type textValue struct {
	text string
	// set is true if the text was given, and false if it is the default.
	set bool
	// isBool is true if the flag may be given without a value.
	isBool bool
}

// Set implements flag.Value.
func (v *textValue) Set(text string) error {
	v.text, v.set = text, true
	return nil
}

// String implements flag.Value.
func (v *textValue) String() string { return v.text }

// IsBoolFlag makes package flag accept "-planner" for "-planner=true".
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

// fileParser parses a settings file for package ff. It collects errors in the
// file instead of returning the first one.
type fileParser struct {
	parts []part
	errs  inischema.Errors
}

// parse implements ff.ConfigFileParser. It calls set for each key.
func (p *fileParser) parse(r io.Reader, set func(name, value string) error) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	rawSections, errs := inischema.ParseSections(data)
	p.errs = append(p.errs, errs...)
	seen := make(map[string]bool)
	for _, raw := range rawSections {
		if seen[raw.Header()] {
			p.errs = append(p.errs, &inischema.Error{Section: raw.Header(), Problem: "section given twice"})
		}
		seen[raw.Header()] = true
		if err := p.parseSection(raw, set); err != nil {
			return err
		}
	}
	return nil
}

// parseSection calls set for the keys of one section and reports unknown keys.
func (p *fileParser) parseSection(raw inischema.RawSection, set func(name, value string) error) error {
	section, ok := p.section(raw.Header())
	if !ok {
		p.errs = append(p.errs, &inischema.Error{Section: raw.Header(), Problem: "unknown section", Allowed: p.sectionNames()})
		return nil
	}
	for _, pair := range raw.Pairs {
		if _, ok := section.Key(pair.Key); !ok {
			p.errs = append(p.errs, inischema.UnknownKeyError(section, raw, pair))
			continue
		}
		if err := set(flagName(pair.Key), pair.Value); err != nil {
			return err
		}
	}
	return nil
}

// section returns the schema of the section with the given header.
func (p *fileParser) section(header string) (inischema.Section, bool) {
	for _, part := range p.parts {
		if part.section.Name == header {
			return part.section, true
		}
	}
	return inischema.Section{}, false
}

func (p *fileParser) sectionNames() string {
	names := make([]string, 0, len(p.parts))
	for _, part := range p.parts {
		names = append(names, "["+part.section.Name+"]")
	}
	return strings.Join(names, ", ")
}

// fill decodes the texts of the flags into the messages of the parts.
func fill(fs *flag.FlagSet, parts []part) inischema.Errors {
	var errs inischema.Errors
	for _, p := range parts {
		raw := inischema.RawSection{Type: p.section.Name}
		for _, key := range p.section.Keys {
			value := fs.Lookup(flagName(key.Name)).Value.(*textValue)
			if value.set {
				raw.Pairs = append(raw.Pairs, inischema.KeyValue{Key: key.Name, Value: value.text})
			}
		}
		errs = append(errs, inischema.Decode(p.section, raw, p.msg)...)
	}
	return errs
}

// checkProcess validates the addresses of the process section.
func checkProcess(p *settingsv1.Process) inischema.Errors {
	var errs inischema.Errors
	if p.GetHttpAddress() == p.GetPeerAddress() {
		errs = append(errs, invalid("process", "peer_address", p.GetPeerAddress(), "same as http_address", "a different address"))
	}
	if netip.MustParseAddrPort(p.GetPeerAddress()).Addr().IsUnspecified() {
		errs = append(errs, invalid("process", "peer_address", p.GetPeerAddress(), "other processes can't reach it", "an IP address of this instance with a port"))
	}
	return errs
}

func checkAgent(a *settingsv1.Agent) inischema.Errors {
	errs := checkProcess(a.GetProcess())
	exclusive := a.GetExclusiveAddress()
	if exclusive == a.GetProcess().GetHttpAddress() || exclusive == a.GetProcess().GetPeerAddress() {
		errs = append(errs, invalid("agent", "exclusive_address", exclusive, "same as another listener", "a different address"))
	}
	return errs
}

func invalid(section, key, value, problem, allowed string) *inischema.Error {
	return &inischema.Error{Section: section, Key: key, Value: value, Problem: problem, Allowed: allowed}
}

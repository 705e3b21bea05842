package inischema

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
)

// Rule defines which values of a key are allowed.
type Rule interface {
	// Check reports whether the value is allowed.
	Check(text string) bool
	// String describes the allowed values, for error messages and the
	// documentation.
	String() string
}

// IntRange allows integers from Min to Max inclusive.
type IntRange struct{ Min, Max int64 }

// Check implements Rule.
func (r IntRange) Check(text string) bool {
	n, err := strconv.ParseInt(text, 10, 64)
	return err == nil && n >= r.Min && n <= r.Max
}

// String implements Rule.
func (r IntRange) String() string { return fmt.Sprintf("%d to %d", r.Min, r.Max) }

// FloatRange allows decimal numbers from Min to Max inclusive.
type FloatRange struct{ Min, Max float64 }

// Check implements Rule.
func (r FloatRange) Check(text string) bool {
	n, err := strconv.ParseFloat(text, 64)
	return err == nil && !math.IsNaN(n) && n >= r.Min && n <= r.Max
}

// String implements Rule.
func (r FloatRange) String() string {
	return fmt.Sprintf("%s to %s, decimals allowed", formatFloat(r.Min), formatFloat(r.Max))
}

// Choice allows the listed values.
type Choice []string

// Check implements Rule.
func (c Choice) Check(text string) bool {
	for _, choice := range c {
		if choice == text {
			return true
		}
	}
	return false
}

// String implements Rule.
func (c Choice) String() string { return "one of " + strings.Join(c, ", ") }

// Bool allows "true" and "false".
var Bool = Choice{"true", "false"}

// pattern allows values that match an anchored regular expression.
type pattern struct {
	re   *regexp.Regexp
	help string
}

// Check implements Rule.
func (p pattern) Check(text string) bool { return p.re.MatchString(text) }

// String implements Rule.
func (p pattern) String() string { return p.help }

// Rules for text values.
var (
	// Name allows the names of objects.
	Name Rule = pattern{
		re:   regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`),
		help: "1 to 63 of a-z, 0-9, '.', '_' and '-', beginning and ending with a letter or digit",
	}
	// Version allows the versions of models.
	Version Rule = pattern{
		re:   regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._+-]{0,62}$`),
		help: "1 to 63 letters, digits, '.', '_', '+' and '-', beginning with a letter or digit",
	}
	// Token allows bearer tokens.
	Token Rule = pattern{
		re:   regexp.MustCompile(`^[A-Za-z0-9._~+/-]{8,256}=*$`),
		help: "8 to 256 letters, digits, '.', '_', '~', '+', '/' and '-'",
	}
	// MethodPath allows an HTTP method with a path prefix, such as
	// "POST /returns".
	MethodPath Rule = pattern{
		re:   regexp.MustCompile(`^(GET|PUT|POST|PATCH|DELETE) /[A-Za-z0-9._~/-]*$`),
		help: "\"METHOD /path-prefix\" with GET, PUT, POST, PATCH or DELETE",
	}
)

// Address allows an IP address with a port, but no IPv6 zone.
type Address struct{}

// Check implements Rule.
func (Address) Check(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil && !strings.Contains(text, "%")
}

// String implements Rule.
func (Address) String() string { return "IP:port" }

// URL allows an http URL with an IP address, a port and no path.
type URL struct{}

// Check implements Rule.
func (URL) Check(text string) bool {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || text != "http://"+u.Host {
		return false
	}
	return Address{}.Check(u.Host)
}

// String implements Rule.
func (URL) String() string { return "http://IP:port" }

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

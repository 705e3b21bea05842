// Package oddhead has parts of response headers that are broken, for the stand-ins of servers
// that send them.
package oddhead

import "slices"

// Statuses are texts in place of a status code that name none: those below 100, also with a
// sign.
var Statuses = []string{"000", "001", "020", "099", "+99", "-00"}

// Lines are header lines, without their ends, whose field names are no tokens: they hold a
// blank, a control byte or another byte that no name holds, or are empty.
var Lines = []string{
	"X Odd: a", "X-Odd : a", "X-Odd  : a", "X-O\tdd: a", "X-Odd\t: a", "X-O\x00dd: a", "X-Odd\x01: a", "X-Odd\x7f: a", "X-O\rdd: a",
	"X-Odd[1]: a", "X-\xd6dd: a", ": a",
}

// FramingLines are header lines of that kind that would delimit a body of two bytes, or one in
// chunks, if they were taken for the fields that they resemble.
var FramingLines = []string{
	"Content-Length : 2", "Content-Length\t: 2", "Content Length: 2", "Transfer-Encoding : chunked", "Transfer Encoding: chunked",
}

// AllLines are Lines and FramingLines.
var AllLines = slices.Concat(Lines, FramingLines)

// SoundLines are header lines that are unusual and sound.
var SoundLines = []string{
	"x-lower: a", "X!#$%&'*+-.^_`|~9: a", "X-Empty:", "X-Tight:a", "X-Wide:   a   ", "X-Tab:\ta", "X-Value: \xd6dd \"a, b\" : c", "X_Under: a",
	"X-Folded: a\r\n b",
}

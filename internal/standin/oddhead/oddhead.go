// Package oddhead has parts of response headers that are broken, for the stand-ins of servers
// that send them.
package oddhead

// Statuses are texts in place of a status code that name none: those below 100, also with a
// sign.
var Statuses = []string{"000", "001", "020", "099", "+99", "-00"}

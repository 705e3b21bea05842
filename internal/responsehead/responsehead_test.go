package responsehead

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldwing/marigoldwing/internal/standin/oddhead"
)

// read reads the final header of a text.
func read(text string) (*http.Response, error) {
	return Read(bufio.NewReader(strings.NewReader(text)), &http.Request{Method: http.MethodPost})
}

// TestReadStatus checks which statuses are those of a final response, and that nothing after
// another one is read as a response.
func TestReadStatus(t *testing.T) {
	const final = "HTTP/1.1 204 No Content\r\n\r\n"
	for _, status := range append([]string{"101"}, oddhead.Statuses...) {
		_, err := read("HTTP/1.1 " + status + " Trouble\r\n\r\n" + final)
		require.ErrorIs(t, err, ErrMalformed, status)
	}
	for _, status := range []string{"100", "102", "103", "199"} {
		response, err := read("HTTP/1.1 " + status + " Interim\r\n\r\n" + final)
		require.NoError(t, err, status)
		require.Equal(t, http.StatusNoContent, response.StatusCode, status)
	}
	for _, status := range []string{"200", "204", "304", "421", "599", "600", "999"} {
		_, err := read("HTTP/1.1 " + status + "\r\n\r\n")
		require.NoError(t, err, status)
	}
}

// TestReadFields checks that names that are no tokens make no header, in interim responses
// neither, and that unusual ones do.
func TestReadFields(t *testing.T) {
	const final = "HTTP/1.1 204 No Content\r\n\r\n"
	for _, line := range oddhead.AllLines {
		_, err := read("HTTP/1.1 200 OK\r\nX-A: a\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok")
		require.Error(t, err, "%q", line)
		_, err = read("HTTP/1.1 103 Early Hints\r\nX-A: a\r\n" + line + "\r\n\r\n" + final)
		require.Error(t, err, "%q", line)
	}
	for _, line := range oddhead.SoundLines {
		_, err := read("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok")
		require.NoError(t, err, "%q", line)
		_, err = read("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + final)
		require.NoError(t, err, "%q", line)
	}
}

// TestErrorQuotesLittleOfName checks that a long name does not fill the log.
func TestErrorQuotesLittleOfName(t *testing.T) {
	err := CheckFields(http.Header{strings.Repeat("x ", 10_000): {"a"}})
	require.ErrorIs(t, err, ErrMalformed)
	require.Less(t, len(err.Error()), 200)
}

package engine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// callBody is the request body of a call. When the transport starts to write
// it, it runs the pre-send check of its context. It can be read only once, so
// the transport cannot transparently retry a call.
type callBody struct {
	ctx      context.Context
	data     []byte
	reader   *bytes.Reader
	checked  bool
	checkErr atomic.Pointer[error]
}

// newBody returns a body with the JSON encoding of message. A nil message gives
// an empty body.
func newBody(ctx context.Context, message proto.Message) (*callBody, error) {
	var data []byte
	if message != nil {
		var err error
		if data, err = protojson.Marshal(message); err != nil {
			return nil, fmt.Errorf("engine: encode %T: %w", message, err)
		}
	}
	return &callBody{ctx: ctx, data: data, reader: bytes.NewReader(data)}, nil
}

// attach sets b as the body of req. An empty body is omitted.
func (b *callBody) attach(req *http.Request) {
	if len(b.data) == 0 {
		return
	}
	req.Body = io.NopCloser(b)
	req.ContentLength = int64(len(b.data))
	req.Header.Set("Content-Type", "application/json")
}

// Read implements io.Reader.
func (b *callBody) Read(p []byte) (int, error) {
	if !b.checked {
		b.checked = true
		if err := RunSendCheck(b.ctx); err != nil {
			b.checkErr.Store(&err)
			return 0, err
		}
	}
	return b.reader.Read(p)
}

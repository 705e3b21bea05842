package peerrpc

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// MaxMessageBytes is the maximum size of an encoded message, without its length
// prefix.
const MaxMessageBytes = 24 << 20

// prefixBytes is the size of the length prefix of a message, a big-endian
// integer.
const prefixBytes = 4

// readChunkBytes is the maximum number of bytes allocated ahead of the received
// data, so that a forged length prefix does not allocate much memory.
const readChunkBytes = 64 << 10

// ErrMessageTooLarge is returned for messages larger than MaxMessageBytes.
var ErrMessageTooLarge = errors.New("peer: message too large")

// codec reads and writes length-prefixed JSON objects. It implements
// jsonrpc2.ObjectCodec.
type codec struct {
	// beforeWrite is called before the first byte of each message is written; it may
	// be nil.
	beforeWrite func()
	// onWrite and onRead are called with the size of each message in bytes,
	// including the length prefix.
	onWrite func(bytes int)
	onRead  func(bytes int)
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c codec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return fmt.Errorf("peer: encode message: %w", err)
	}
	if len(data) > MaxMessageBytes {
		return ErrMessageTooLarge
	}
	if c.beforeWrite != nil {
		c.beforeWrite()
	}
	var prefix [prefixBytes]byte
	binary.BigEndian.PutUint32(prefix[:], uint32(len(data)))
	if _, err := w.Write(prefix[:]); err != nil {
		return err
	}
	if _, err := w.Write(data); err != nil {
		return err
	}
	c.onWrite(prefixBytes + len(data))
	return nil
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c codec) ReadObject(r *bufio.Reader, v any) error {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return err
	}
	size := int64(binary.BigEndian.Uint32(prefix[:]))
	if size > MaxMessageBytes {
		return ErrMessageTooLarge
	}
	data, err := readN(r, size)
	if err != nil {
		return err
	}
	c.onRead(prefixBytes + len(data))
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("peer: decode message: %w", err)
	}
	return nil
}

// readN reads size bytes into a buffer that grows as they arrive.
func readN(r io.Reader, size int64) ([]byte, error) {
	data := make([]byte, 0, min(size, readChunkBytes))
	for int64(len(data)) < size {
		n := min(size-int64(len(data)), readChunkBytes)
		start := len(data)
		data = append(data, make([]byte, n)...)
		if _, err := io.ReadFull(r, data[start:]); err != nil {
			return nil, err
		}
	}
	return data, nil
}

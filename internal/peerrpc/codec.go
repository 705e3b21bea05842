package peerrpc

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// MaxMessageBytes is the largest message that a connection carries.
const MaxMessageBytes = 24 << 20

// lengthBytes is the size of the prefix that holds a message's length.
const lengthBytes = 4

// readChunkBytes bounds what is allocated before bytes have arrived, so that
// a forged length does not cost memory.
const readChunkBytes = 64 << 10

// ErrMessageTooLarge says that a message is over MaxMessageBytes.
var ErrMessageTooLarge = errors.New("peer: message too large")

// codec reads and writes length-prefixed JSON objects. It implements
// jsonrpc2.ObjectCodec.
type codec struct {
	// wrote and read are told the size in bytes of each message.
	wrote func(bytes int)
	read  func(bytes int)
}

// WriteObject writes one object.
func (c codec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return fmt.Errorf("peer: encode message: %w", err)
	}
	if len(data) > MaxMessageBytes {
		return ErrMessageTooLarge
	}
	var prefix [lengthBytes]byte
	binary.BigEndian.PutUint32(prefix[:], uint32(len(data)))
	if _, err := w.Write(prefix[:]); err != nil {
		return err
	}
	if _, err := w.Write(data); err != nil {
		return err
	}
	c.wrote(lengthBytes + len(data))
	return nil
}

// ReadObject reads one object into v.
func (c codec) ReadObject(r *bufio.Reader, v any) error {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return err
	}
	size := int64(binary.BigEndian.Uint32(prefix[:]))
	if size > MaxMessageBytes {
		return ErrMessageTooLarge
	}
	data, err := readSized(r, size)
	if err != nil {
		return err
	}
	c.read(lengthBytes + len(data))
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("peer: decode message: %w", err)
	}
	return nil
}

// readSized reads size bytes, growing as they arrive.
func readSized(r io.Reader, size int64) ([]byte, error) {
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

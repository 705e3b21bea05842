package peerrpc

import (
	"encoding/json"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"
)

// Methods of the protocol. Submit, Frame and PlaceEnded are notifications; the
// others are calls.
const (
	methodSubmit      = "submit"
	methodFrame       = "frame"
	methodWithdraw    = "withdraw"
	methodHello       = "hello"
	methodHeartbeat   = "heartbeat"
	methodFetchConfig = "fetchConfig"
	methodFetchPlan   = "fetchPlan"
	methodPlace       = "place"
	methodPlaceEnded  = "placeEnded"
)

// ErrMalformed says that a message could not be decoded.
var ErrMalformed = errors.New("peer: malformed message")

// payload is the params or result of a message: one protobuf message in
// binary form.
type payload struct {
	Message []byte `json:"m"`
}

// encode wraps a protobuf message.
func encode(m proto.Message) (payload, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return payload{}, fmt.Errorf("peer: encode %T: %w", m, err)
	}
	return payload{Message: data}, nil
}

// decode unwraps params into m.
func decode(params *json.RawMessage, m proto.Message) error {
	if params == nil {
		return fmt.Errorf("%w: no params", ErrMalformed)
	}
	var p payload
	if err := json.Unmarshal(*params, &p); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return decodePayload(p, m)
}

func decodePayload(p payload, m proto.Message) error {
	if err := proto.Unmarshal(p.Message, m); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

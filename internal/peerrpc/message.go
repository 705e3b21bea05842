package peerrpc

import (
	"encoding/json"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"
)

// Methods of the protocol. Submit, frame, placeEnded, streamOrigins and endTrial
// are notifications, to which there is no reply.
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

	methodStreamOrigins = "streamOrigins"
	methodFindStream    = "findStream"
	methodBeginTrial    = "beginTrial"
	methodEndTrial      = "endTrial"
	methodCollectUsage  = "collectUsage"

	// methodStopSubmitting is called by a server that stops.
	methodStopSubmitting = "stopSubmitting"
)

// ErrMalformed is returned when a message cannot be decoded or has an unknown
// method.
var ErrMalformed = errors.New("peer: malformed message")

// payload is the JSON form of the params or result of a message: a protobuf
// message in binary encoding.
type payload struct {
	Message []byte `json:"m"`
}

// encode returns the payload for a protobuf message.
func encode(m proto.Message) (payload, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return payload{}, fmt.Errorf("peer: encode %T: %w", m, err)
	}
	return payload{Message: data}, nil
}

// decode decodes the params of a request into m.
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

// decodePayload decodes the protobuf message of a payload into m.
func decodePayload(p payload, m proto.Message) error {
	if err := proto.Unmarshal(p.Message, m); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

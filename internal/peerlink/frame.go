package peerlink

import (
	"bufio"
	"bytes"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"toucangap/internal/peerpb"
)

// frame is an encoded message with its length prefix.
type frame struct {
	kind  string
	bytes []byte
}

func encode(envelope *peerpb.Envelope) (frame, error) {
	size := proto.Size(envelope)
	if size > maxFrame {
		return frame{}, merry.Wrap(ErrTooLarge, merry.AppendMessagef("%d bytes", size))
	}
	var b bytes.Buffer
	if _, err := protodelim.MarshalTo(&b, envelope); err != nil {
		return frame{}, merry.Prepend(err, "encode frame")
	}
	return frame{kind: kind(envelope), bytes: b.Bytes()}, nil
}

// decode reads one frame.
func decode(r *bufio.Reader) (*peerpb.Envelope, error) {
	envelope := new(peerpb.Envelope)
	options := protodelim.UnmarshalOptions{MaxSize: maxFrame}
	if err := options.UnmarshalFrom(r, envelope); err != nil {
		return nil, err
	}
	return envelope, nil
}

// frameSize returns the size in bytes of a message with its length prefix.
func frameSize(envelope *peerpb.Envelope) int {
	return protowire.SizeBytes(proto.Size(envelope))
}

// readHello reads the first frame of a link.
func readHello(r *bufio.Reader) (*peerpb.Envelope, error) {
	envelope, err := decode(r)
	if err != nil {
		return nil, merry.Prepend(err, "read hello")
	}
	if envelope.GetHello().GetHost() == "" {
		return nil, merry.Wrap(ErrProtocol, merry.AppendMessagef("got %s instead of hello", kind(envelope)))
	}
	return envelope, nil
}

// kindNames returns the names of all message kinds.
func kindNames() []string {
	fields := new(peerpb.Envelope).ProtoReflect().Descriptor().Oneofs().Get(0).Fields()
	names := make([]string, fields.Len())
	for i := range names {
		names[i] = string(fields.Get(i).Name())
	}
	return names
}

// kind returns the name of the message's body field in the protocol definition.
func kind(envelope *peerpb.Envelope) string {
	message := envelope.ProtoReflect()
	field := message.WhichOneof(message.Descriptor().Oneofs().Get(0))
	if field == nil {
		return "unknown"
	}
	return string(field.Name())
}

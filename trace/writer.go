package trace

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	maxArrayItems = 1 << 20 // of an array in a frame: ten times config.MaxEndpoints
	maxMapPairs   = 1 << 16 // of a map in a frame; no record has nearly as many fields
)

// codec encodes and decodes the stored form. Fields that this version does not know are errors: a trace that was read
// without them would replay to something else.
var codec = func() (m struct {
	enc cbor.EncMode
	dec cbor.DecMode
}) {
	var err error
	if m.enc, err = (cbor.EncOptions{Sort: cbor.SortNone}).EncMode(); err != nil {
		panic(err)
	}
	opt := cbor.DecOptions{MaxArrayElements: maxArrayItems, MaxMapPairs: maxMapPairs, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		UTF8: cbor.UTF8DecodeInvalid} // names of customers are whatever the configuration has
	if m.dec, err = opt.DecMode(); err != nil {
		panic(err)
	}
	return m
}()

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Writer makes the bytes of a file. It belongs to one goroutine.
type Writer struct{ zip *zstd.Encoder }

// NewWriter makes a Writer. The error is that of the compressor.
func NewWriter() (*Writer, error) {
	z, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	return &Writer{zip: z}, err
}

// Begin is the start of a file: the magic line and the header's frame.
func (w *Writer) Begin(h Header) ([]byte, error) {
	b, err := codec.enc.Marshal(h)
	if err != nil {
		return nil, err
	}
	return w.frame([]byte(Format), b), nil
}

// Frame is a frame of records.
func (w *Writer) Frame(records []Record) ([]byte, error) {
	b, err := codec.enc.Marshal(records)
	if err != nil {
		return nil, err
	}
	return w.frame(nil, b), nil
}

// frame appends a frame with a payload.
func (w *Writer) frame(to, payload []byte) []byte {
	compressed := w.zip.EncodeAll(payload, nil)
	to = binary.BigEndian.AppendUint32(to, uint32(len(compressed)))
	to = binary.BigEndian.AppendUint32(to, crc32.Checksum(compressed, castagnoli))
	return append(to, compressed...)
}

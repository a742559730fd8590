package trace

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	maxArrayItems = 1 << 20 // maximum items of an array in a frame: about ten times config.MaxEndpoints
	maxMapPairs   = 1 << 16 // maximum pairs of a map in a frame; records have far fewer fields
)

// codec encodes and decodes the stored form. Unknown fields are errors: a replay without them could have different results.
var codec = func() (m struct {
	enc cbor.EncMode
	dec cbor.DecMode
}) {
	var err error
	if m.enc, err = (cbor.EncOptions{Sort: cbor.SortNone}).EncMode(); err != nil {
		panic(err)
	}
	opt := cbor.DecOptions{MaxArrayElements: maxArrayItems, MaxMapPairs: maxMapPairs, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		UTF8: cbor.UTF8DecodeInvalid} // names of customers may contain any bytes, as in the configuration
	if m.dec, err = opt.DecMode(); err != nil {
		panic(err)
	}
	return m
}()

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Writer encodes a file. It must not be used by several goroutines at once.
type Writer struct{ compressor *zstd.Encoder }

// NewWriter returns a Writer. The error is that of the compressor.
func NewWriter() (*Writer, error) {
	z, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	return &Writer{compressor: z}, err
}

// Begin returns the start of a file: Format and the frame of the header.
func (w *Writer) Begin(h Header) ([]byte, error) {
	b, err := codec.enc.Marshal(h)
	if err != nil {
		return nil, err
	}
	return w.frame([]byte(Format), b), nil
}

// Frame returns a frame of records.
func (w *Writer) Frame(records []Record) ([]byte, error) {
	b, err := codec.enc.Marshal(records)
	if err != nil {
		return nil, err
	}
	return w.frame(nil, b), nil
}

// frame appends a frame with a payload to dst and returns the extended slice.
func (w *Writer) frame(dst, payload []byte) []byte {
	compressed := w.compressor.EncodeAll(payload, nil)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(compressed)))
	dst = binary.BigEndian.AppendUint32(dst, crc32.Checksum(compressed, castagnoli))
	return append(dst, compressed...)
}

package trace

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/klauspost/compress/zstd"
)

// Errors of reading; they come wrapped, with the place. ErrTruncated alone is no damage: a killed process wrote no more.
var (
	ErrFormat    = errors.New("trace: not a trace of this version")
	ErrTruncated = errors.New("trace: the file ends within a frame")
	ErrCorrupt   = errors.New("trace: a frame is broken")
)

// Reader reads a file. It belongs to one goroutine.
type Reader struct {
	Header Header
	file   []byte
	offset int // of the next frame, in bytes
	zip    *zstd.Decoder
}

// NewReader reads the start of a file. The error is ErrFormat, ErrTruncated or ErrCorrupt, wrapped, or that of the decoder.
func NewReader(file []byte) (*Reader, error) {
	if len(file) < len(Format) || string(file[:len(Format)]) != Format {
		first := file[:min(len(file), 24)]
		return nil, fmt.Errorf("%w: it begins %q, expected %q", ErrFormat, first, Format)
	}
	z, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(4*maxFrameBytes))
	if err != nil {
		return nil, err
	}
	r := &Reader{file: file, offset: len(Format), zip: z}
	b, err := r.frame()
	if err == nil {
		err = codec.dec.Unmarshal(b, &r.Header)
	}
	if err != nil {
		z.Close()
		return nil, fmt.Errorf("its head: %w", err)
	}
	return r, nil
}

// Close frees the decompressor; the reader can't be used any more.
func (r *Reader) Close() { r.zip.Close() }

// Next is the next frame's records; nil at the end. After ErrTruncated or ErrCorrupt there is no more.
func (r *Reader) Next() ([]Record, error) {
	if r.offset == len(r.file) {
		return nil, nil
	}
	b, err := r.frame()
	if err != nil {
		return nil, err
	}
	var records []Record
	if err := codec.dec.Unmarshal(b, &records); err != nil {
		return nil, fmt.Errorf("%w: at byte %d: %v", ErrCorrupt, r.offset, err)
	}
	return records, nil
}

// frame is the payload of the next frame.
func (r *Reader) frame() ([]byte, error) {
	rest := r.file[r.offset:]
	if len(rest) < frameHeaderBytes {
		return nil, fmt.Errorf("%w: at byte %d", ErrTruncated, r.offset)
	}
	n, sum := int(binary.BigEndian.Uint32(rest)), binary.BigEndian.Uint32(rest[4:])
	if n > maxFrameBytes {
		return nil, fmt.Errorf("%w: at byte %d: %d bytes", ErrCorrupt, r.offset, n)
	}
	if len(rest) < frameHeaderBytes+n {
		return nil, fmt.Errorf("%w: at byte %d", ErrTruncated, r.offset)
	}
	p := rest[frameHeaderBytes : frameHeaderBytes+n]
	if crc32.Checksum(p, castagnoli) != sum {
		return nil, fmt.Errorf("%w: at byte %d: its checksum differs", ErrCorrupt, r.offset)
	}
	b, err := r.zip.DecodeAll(p, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: at byte %d: %v", ErrCorrupt, r.offset, err)
	}
	r.offset += frameHeaderBytes + n
	return b, nil
}

// Each calls begin, if there is one, with a file's header, and f with every record. A file that a kill cut off is read up to its
// last complete frame, whose end in bytes is then returned as cut; 0 says that the file is complete. Errors of begin and f are returned as they are.
func Each(file []byte, begin func(Header) error, f func(Header, Record) error) (cut int, err error) {
	r, err := NewReader(file)
	if err != nil {
		return 0, err
	}
	defer r.Close()
	if begin != nil {
		if err := begin(r.Header); err != nil {
			return 0, err
		}
	}
	for {
		records, err := r.Next()
		if errors.Is(err, ErrTruncated) {
			return r.offset, nil
		}
		if err != nil || records == nil {
			return 0, err
		}
		for _, record := range records {
			if err := f(r.Header, record); err != nil {
				return 0, err
			}
		}
	}
}

package trace

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/klauspost/compress/zstd"
)

// Errors of reading. The reader wraps them: ErrTruncated and ErrCorrupt with an offset in the file, ErrFormat with the start of
// the file. ErrTruncated does not mean corruption: a process that was killed leaves such a file.
var (
	ErrFormat    = errors.New("trace: not a trace of this version")
	ErrTruncated = errors.New("trace: the file ends within a frame")
	ErrCorrupt   = errors.New("trace: a frame is corrupt")
)

// Reader reads a file. It must not be used by several goroutines at once.
type Reader struct {
	Header       Header
	file         []byte
	offset       int // offset of the next frame (bytes)
	decompressor *zstd.Decoder
}

// NewReader reads the header of a file. The error is ErrFormat, ErrTruncated or ErrCorrupt, wrapped, or that of the decoder.
func NewReader(file []byte) (*Reader, error) {
	if len(file) < len(Format) || string(file[:len(Format)]) != Format {
		first := file[:min(len(file), 24)]
		return nil, fmt.Errorf("%w: the file begins with %q, expected %q", ErrFormat, first, Format)
	}
	z, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(4*maxFrameBytes))
	if err != nil {
		return nil, err
	}
	r := &Reader{file: file, offset: len(Format), decompressor: z}
	b, err := r.frame()
	if err == nil {
		err = codec.dec.Unmarshal(b, &r.Header)
	}
	if err != nil {
		z.Close()
		return nil, fmt.Errorf("header: %w", err)
	}
	return r, nil
}

// Close releases the decompressor. The reader must not be used after it.
func (r *Reader) Close() { r.decompressor.Close() }

// Next returns the records of the next frame, or nil at the end of the file. After an error it must not be called again.
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

// frame reads the next frame and returns its payload.
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
		return nil, fmt.Errorf("%w: at byte %d: checksum mismatch", ErrCorrupt, r.offset)
	}
	b, err := r.decompressor.DecodeAll(p, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: at byte %d: %v", ErrCorrupt, r.offset, err)
	}
	r.offset += frameHeaderBytes + n
	return b, nil
}

// Each calls begin, unless it is nil, with the header of a file, and f with every record. If the file is truncated, because
// the process was killed, Each reads it up to the last complete frame and returns the end of that frame as cut (bytes); 0
// means that the file is complete. If the frame of the header is incomplete, Each returns
// ErrTruncated. It returns the errors of begin and f unchanged.
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

// SPDX-License-Identifier: MIT

package durable

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// headerSize is the length (4 bytes) and the CRC-32C (4 bytes) of a frame.
const headerSize = 8

// maxFrame bounds a frame, so that a broken length is not believed.
const maxFrame = 64 << 20

// TooLargeError reports a record or value that could not be read back.
type TooLargeError struct {
	// Size is the size in bytes, and Limit the largest.
	Size, Limit int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("durable: %d bytes are too many, the limit is %d", e.Size, e.Limit)
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checkSize returns a [TooLargeError] if a payload does not fit into a frame.
func checkSize(payload []byte) error {
	if len(payload) > maxFrame {
		return &TooLargeError{Size: len(payload), Limit: maxFrame}
	}
	return nil
}

// appendFrame appends a payload with its header.
func appendFrame(b, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	return append(b, payload...)
}

// nextFrame splits the first frame off b. It reports false if b does not begin
// with a whole frame.
func nextFrame(b []byte) (payload, rest []byte, ok bool) {
	if len(b) < headerSize {
		return nil, b, false
	}
	n := binary.BigEndian.Uint32(b)
	if n > maxFrame || int(n) > len(b)-headerSize {
		return nil, b, false
	}
	payload = b[headerSize : headerSize+int(n)]
	if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(b[4:]) {
		return nil, b, false
	}
	return payload, b[headerSize+int(n):], true
}

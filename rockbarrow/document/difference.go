// SPDX-License-Identifier: MIT

package document

import (
	"crypto/sha256"
	"math/bits"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

const (
	// dictionary is the number that frames carry for their base. Which document it is
	// stands beside the frame, so that one number serves all.
	dictionary = 1
	// maxDocument in bytes bounds what a frame may unfold to: twice what operators may
	// send, which is some ten thousand routes.
	maxDocument = 32 << 20
	// maxWindow in bytes bounds the encoder's memory. Of documents whose size and base
	// are larger together, the far parts are not found and are sent again.
	maxWindow = 8 << 20
)

// Digest names a document.
func Digest(document []byte) []byte {
	sum := sha256.Sum256(document)
	return sum[:]
}

// difference returns a frame that unfold makes document of, given base.
func difference(base, document []byte) ([]byte, error) {
	opts := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(window(len(base) + len(document))),
	}
	if len(base) > 0 {
		opts = append(opts, zstd.WithEncoderDictRaw(dictionary, base))
	}
	w, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil, errors.Wrap(err, "document: difference")
	}
	defer w.Close()
	return w.EncodeAll(document, nil), nil
}

// window is the power of two that reaches back over n bytes.
func window(n int) int {
	return min(maxWindow, max(zstd.MinWindowSize, 1<<bits.Len(uint(n))))
}

// unfold makes a document of a frame and its base.
func unfold(base, frame []byte) ([]byte, error) {
	opts := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDocument),
	}
	if len(base) > 0 {
		opts = append(opts, zstd.WithDecoderDictRaw(dictionary, base))
	}
	r, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, errors.Wrap(err, "document: unfold")
	}
	defer r.Close()
	b, err := r.DecodeAll(frame, nil)
	return b, errors.Wrap(err, "document: unfold")
}

// Compress returns a frame that Decompress makes b of.
func Compress(b []byte) ([]byte, error) { return difference(nil, b) }

// Decompress makes bytes of a frame. What unfolds to more than 32 MB is an error.
func Decompress(frame []byte) ([]byte, error) { return unfold(nil, frame) }

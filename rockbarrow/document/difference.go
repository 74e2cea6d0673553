// SPDX-License-Identifier: MIT

package document

import (
	"crypto/sha256"
	"math/bits"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

const (
	// dictionaryID is the dictionary ID in all frames. The digest sent beside a frame
	// identifies its base.
	dictionaryID = 1
	// maxDocumentSize in bytes bounds a decompressed document, at twice the size that
	// operators may send, which is about ten thousand routes.
	maxDocumentSize = 32 << 20
	// maxWindowSize in bytes bounds the encoder's memory. Matches farther back are
	// not found and are sent again.
	maxWindowSize = 8 << 20
)

// Digest returns the SHA-256 that identifies a document.
func Digest(document []byte) []byte {
	sum := sha256.Sum256(document)
	return sum[:]
}

// compressWithBase returns a Zstandard frame of document with base as its dictionary.
func compressWithBase(base, document []byte) ([]byte, error) {
	opts := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(windowSize(len(base) + len(document))),
	}
	if len(base) > 0 {
		opts = append(opts, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	w, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil, errors.Wrap(err, "document: compress")
	}
	defer w.Close()
	return w.EncodeAll(document, nil), nil
}

// windowSize returns the smallest power of two above n within the encoder's limits.
func windowSize(n int) int {
	return min(maxWindowSize, max(zstd.MinWindowSize, 1<<bits.Len(uint(n))))
}

// decompressWithBase decodes a frame of compressWithBase.
func decompressWithBase(base, frame []byte) ([]byte, error) {
	opts := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDocumentSize),
	}
	if len(base) > 0 {
		opts = append(opts, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	r, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, errors.Wrap(err, "document: decompress")
	}
	defer r.Close()
	b, err := r.DecodeAll(frame, nil)
	return b, errors.Wrap(err, "document: decompress")
}

// Compress returns b as a Zstandard frame.
func Compress(b []byte) ([]byte, error) { return compressWithBase(nil, b) }

// Decompress decodes a frame of Compress. It fails if the result exceeds 32 MB.
func Decompress(frame []byte) ([]byte, error) { return decompressWithBase(nil, frame) }

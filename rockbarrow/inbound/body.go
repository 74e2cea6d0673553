// SPDX-License-Identifier: MIT

package inbound

import "io"

// Body is the body of a client's request. The receive buffer of the client's connection grows at the first read, for which the request must
// have room in the instance.
type Body struct {
	io.ReadCloser
	Limits *Limits
	Client Client
	// Length is the size of the body in bytes, negative if it is unknown.
	Length int64

	begun bool
}

// Read reads from the body.
func (b *Body) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		n := b.Length
		if n < 0 {
			n = 2 * largeBuffer
		}
		b.Limits.Grow(b.Client, n)
	}
	return b.ReadCloser.Read(p)
}

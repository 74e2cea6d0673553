// SPDX-License-Identifier: MIT

package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/pkg/errors"
)

// keySize is the size of a key in bytes. Clients can't make other requests collide with theirs.
const keySize = 16

// Key is a digest that identifies a request over all its attempts, or content whoever sends it.
type Key [keySize]byte

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// sender returns a short form of a request's key, by which the senders of one content are told apart.
func (k Key) sender() uint64 { return binary.LittleEndian.Uint64(k[:]) }

// ParseKey parses the hexadecimal form of a key.
func ParseKey(s string) (Key, error) {
	b, err := hex.DecodeString(s)
	if err != nil {
		return Key{}, errors.Wrapf(err, "quarantine: key %q", s)
	}
	return keyFromBytes(b)
}

func keyFromBytes(b []byte) (k Key, err error) {
	if len(b) != keySize {
		return Key{}, errors.Errorf("quarantine: a key of %d bytes, want %d", len(b), keySize)
	}
	copy(k[:], b)
	return k, nil
}

// Content is what an endpoint gets of a request, without what differs between attempts.
type Content struct {
	Method, Host, Target string
	Body                 []byte
}

// Sender identifies who sends a request, and its place in a conversation.
type Sender struct{ Customer, Program, Session, PreviousTurn, AffinityKey string }

// Keys identify one request.
type Keys struct {
	// Request is that of the request of its sender.
	Request Key
	// Content is that of the content alone. It is valid only if HasContent is true.
	Content    Key
	HasContent bool
	// Shared is true if the request belongs to no program, so that many clients may send it at a time.
	Shared bool
}

// all returns the valid keys, that of the request first.
func (k Keys) all() []Key {
	if k.HasContent {
		return []Key{k.Request, k.Content}
	}
	return []Key{k.Request}
}

// KeysOf returns the keys of a request. The input is the body that the client sent, and content.Body may contain earlier
// turns. Content without a body has no key, as everybody may send it.
func KeysOf(s Sender, input []byte, content Content) Keys {
	k := Keys{Shared: s.Program == "", Request: digest([]string{"request", s.Customer, s.Program, s.Session, s.PreviousTurn, s.AffinityKey, content.Method, content.Host, content.Target}, input)}
	if len(content.Body) > 0 {
		k.Content, k.HasContent = digest([]string{"content", content.Method, content.Host, content.Target}, content.Body), true
	}
	return k
}

// digest hashes fields, each preceded by its length, and a body.
func digest(fields []string, body []byte) (k Key) {
	h := sha256.New()
	var length [8]byte
	for _, f := range fields {
		binary.LittleEndian.PutUint64(length[:], uint64(len(f)))
		h.Write(length[:])
		h.Write([]byte(f))
	}
	h.Write(body)
	copy(k[:], h.Sum(nil))
	return k
}

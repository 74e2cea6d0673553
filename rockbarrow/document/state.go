// SPDX-License-Identifier: MIT

package document

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/fleetpb"
)

// PackState encodes a state for a receiver that holds the given documents. It does
// not modify st.
func (c *Cache) PackState(st *fleetpb.State, held *fleetpb.Held) *fleetpb.State {
	cfg := st.GetConfiguration()
	p := c.Pack(cfg.GetDocument(), cfg.GetDigest(), held)
	if len(p.GetDocument()) > 0 || len(p.GetDigest()) == 0 {
		return st
	}
	packed := &fleetpb.Configuration{
		Version: cfg.GetVersion(), Digest: p.GetDigest(), Base: p.GetBase(), Difference: p.GetDifference(),
	}
	if d := cfg.GetDecoded(); d != nil && held.GetDecoded() {
		packed.Decoded = c.pack(decoded, d.GetDocument(), d.GetDigest(), held)
	}
	return withConfiguration(st, packed)
}

// WithoutDocument returns a state whose configuration has only its version. It does
// not modify st.
func WithoutDocument(st *fleetpb.State) *fleetpb.State {
	if st.GetConfiguration() == nil {
		return st
	}
	return withConfiguration(st, &fleetpb.Configuration{Version: st.GetConfiguration().GetVersion()})
}

func withConfiguration(st *fleetpb.State, cfg *fleetpb.Configuration) *fleetpb.State {
	return &fleetpb.State{
		Number: st.GetNumber(), Voters: st.GetVoters(), PriorVoters: st.GetPriorVoters(),
		View: st.GetView(), Retired: st.GetRetired(), Evacuations: st.GetEvacuations(), Configuration: cfg,
	}
}

// UnpackState decodes a received state in place and adds its document. A whole state is
// not modified, as it may be shared. After an error the state must not be used, and the
// whole state must be requested from the sender.
func (c *Cache) UnpackState(st *fleetpb.State) (*fleetpb.State, error) {
	cfg := st.GetConfiguration()
	if len(cfg.GetDocument())+len(cfg.GetDigest()) == 0 {
		// There is no configuration yet, or its document was not requested.
		return st, nil
	}
	d, err := c.Unpack(&fleetpb.Packed{
		Document: cfg.GetDocument(), Digest: cfg.GetDigest(), Base: cfg.GetBase(), Difference: cfg.GetDifference(),
	})
	if err != nil {
		return nil, err
	}
	if len(cfg.GetDigest()) == 0 {
		cfg.Digest = Digest(d)
	}
	if len(cfg.GetDocument()) == 0 {
		cfg.Document, cfg.Base, cfg.Difference = d, nil, nil
	}
	if p := cfg.GetDecoded(); p != nil {
		form, err := c.unpack(decoded, p)
		if err != nil {
			return nil, err
		}
		if len(p.GetDocument()) == 0 {
			cfg.Decoded = whole(form)
		}
	}
	return st, nil
}

// NewConfiguration returns the configuration that an operator sent as the given text, with its decoded form.
func NewConfiguration(d *fleetpb.Document, text []byte) (*fleetpb.Configuration, error) {
	form, err := proto.MarshalOptions{Deterministic: true}.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "document: encode a configuration")
	}
	return &fleetpb.Configuration{Version: d.GetVersion(), Document: text, Digest: Digest(text), Decoded: whole(form)}, nil
}

func whole(document []byte) *fleetpb.Packed {
	return &fleetpb.Packed{Document: document, Digest: Digest(document)}
}

// Decoded returns the decoded form of a configuration. One that was accepted by an earlier version has none, and is decoded by read.
func Decoded(cfg *fleetpb.Configuration, read func([]byte) (*fleetpb.Document, error)) (*fleetpb.Document, error) {
	if cfg.GetDecoded() == nil {
		d, err := read(cfg.GetDocument())
		if err != nil {
			return nil, err
		}
		// Earlier versions took the version from another reading.
		d.Version = cfg.GetVersion()
		return d, nil
	}
	d := &fleetpb.Document{}
	if err := proto.Unmarshal(cfg.GetDecoded().GetDocument(), d); err != nil {
		return nil, errors.Wrap(err, "document: decode a configuration")
	}
	return d, nil
}

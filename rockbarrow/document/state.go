// SPDX-License-Identifier: MIT

package document

import "rockbarrow.dev/schema/fleetpb"

// PackState encodes a state for a receiver that holds the given documents. It does
// not modify st.
func (c *Cache) PackState(st *fleetpb.State, held *fleetpb.Held) *fleetpb.State {
	cfg := st.GetConfiguration()
	p := c.Pack(cfg.GetDocument(), cfg.GetDigest(), held)
	if len(p.GetDocument()) > 0 || len(p.GetDigest()) == 0 {
		return st
	}
	return withConfiguration(st, &fleetpb.Configuration{
		Version: cfg.GetVersion(), Digest: p.GetDigest(), Base: p.GetBase(), Difference: p.GetDifference(),
	})
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

// UnpackState decodes a received state in place and adds its document. After an error
// the state must not be used, and the whole state must be requested from the sender.
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
	return st, nil
}

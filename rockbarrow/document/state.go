// SPDX-License-Identifier: MIT

package document

import "rockbarrow.dev/schema/fleetpb"

// PackState returns a state as a receiver needs it that has told what it holds. The state
// itself stays as it is.
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

// WithoutDocument returns a state for who has no use for the configuration's document:
// only its version is left. The state itself stays as it is.
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

// UnpackState makes the state of a message whole and keeps its document. After an error
// nothing of the state may be used; the sender has to be asked for it whole.
func (c *Cache) UnpackState(st *fleetpb.State) (*fleetpb.State, error) {
	cfg := st.GetConfiguration()
	if len(cfg.GetDocument())+len(cfg.GetDigest()) == 0 {
		// No configuration was accepted yet, or its document was not asked for.
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

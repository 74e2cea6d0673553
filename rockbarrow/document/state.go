// SPDX-License-Identifier: MIT

package document

import "rockbarrow.dev/schema/fleetpb"

// PackState returns a state as a receiver needs it that has told what it holds. The state
// itself stays as it is.
func (s *Cache) PackState(st *fleetpb.State, held *fleetpb.Held) *fleetpb.State {
	c := st.GetConfiguration()
	p := s.Pack(c.GetDocument(), c.GetDigest(), held)
	if len(p.GetDocument()) > 0 || len(p.GetDigest()) == 0 {
		return st
	}
	return &fleetpb.State{
		Number: st.GetNumber(), Voters: st.GetVoters(), PriorVoters: st.GetPriorVoters(),
		View: st.GetView(), Retired: st.GetRetired(),
		Configuration: &fleetpb.Configuration{
			Version: c.GetVersion(), Digest: p.GetDigest(), Base: p.GetBase(), Difference: p.GetDifference(),
		},
	}
}

// UnpackState makes the state of a message whole and keeps its document. After an error
// nothing of the state may be used; the sender has to be asked for it whole.
func (s *Cache) UnpackState(st *fleetpb.State) (*fleetpb.State, error) {
	c := st.GetConfiguration()
	if len(c.GetDocument())+len(c.GetDigest()) == 0 {
		// No configuration was accepted yet.
		return st, nil
	}
	d, err := s.Unpack(&fleetpb.Packed{
		Document: c.GetDocument(), Digest: c.GetDigest(), Base: c.GetBase(), Difference: c.GetDifference(),
	})
	if err != nil {
		return nil, err
	}
	if len(c.GetDigest()) == 0 {
		c.Digest = Digest(d)
	}
	if len(c.GetDocument()) == 0 {
		c.Document, c.Base, c.Difference = d, nil, nil
	}
	return st, nil
}

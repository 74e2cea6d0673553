// SPDX-License-Identifier: MIT

package entry

import (
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/fleetpb"
)

// EndpointUses returns this instance's calls at endpoints, to report them to the other entry
// instances.
func (e *Entry) EndpointUses() []watch.EndpointUse {
	f := e.fleet.Load()
	if f == nil {
		return nil
	}
	var out []watch.EndpointUse
	for _, p := range f.UsedEndpoints() {
		u := p.Usage()
		if u == (placement.Usage{}) {
			continue
		}
		out = append(out, watch.EndpointUse{Life: p.Life(), Running: u.Running, Answered: u.Answered, Failed: u.Failed, Lost: u.LostConnections, DecodedTokens: u.DecodedTokens, DecodeMicros: u.DecodeMicros})
	}
	return out
}

// ReceiveLoads applies the load reports of other entry instances. Reports are indexed by
// position in the endpoint list, so they are ignored unless they are for the current list.
func (e *Entry) ReceiveLoads(l *fleetpb.EndpointLoads) {
	f := e.fleet.Load()
	if f == nil || f.snapshot.Version().Number() != l.GetListNumber() {
		return
	}
	list := f.snapshot.List().GetEndpoints()
	loads := make([]placement.RemoteLoad, 0, len(l.GetIndex()))
	add := func(index, i int) bool {
		if index >= len(list) || i >= len(l.GetRunning()) || i >= len(l.GetFailing()) {
			return false
		}
		p := list[index]
		known := f.Endpoint(p.GetId())
		// A stale list and its loads may be of an ended incarnation.
		if known != nil && known.Life().Matches(incarnation.ID{EndpointID: p.GetId(), StartMS: p.GetBornMs()}) {
			load := placement.RemoteLoad{Endpoint: known, Running: l.GetRunning()[i], FailingPercent: l.GetFailing()[i]}
			if i < len(l.GetTokenUs()) { // Older control instances send none.
				load.TokenMicros = l.GetTokenUs()[i]
			}
			loads = append(loads, load)
		}
		return true
	}
	complete := true
	if l.GetSparse() {
		for i, index := range l.GetIndex() {
			complete = complete && add(int(index), i)
		}
	} else {
		for i := range list {
			complete = complete && add(i, i)
		}
		complete = complete && len(l.GetRunning()) == len(list)
	}
	if !complete {
		e.Log.WithField("list", l.GetListNumber()).Warn("ignored load reports that do not match the endpoint list")
		return
	}
	f.SetRemoteLoads(time.Now(), loads)
}

// CustomerUses returns how many requests of each customer were admitted since the process started,
// except those that the control instance granted and counts itself. If whole is true, the control
// instance has no counts yet, and those of the quota window are returned instead.
func (e *Entry) CustomerUses(control string, whole bool) []watch.CustomerUse {
	uses := e.Quota.Admitted(control)
	if whole {
		uses = e.Quota.RecentlyAdmitted(time.Now())
	}
	out := make([]watch.CustomerUse, 0, len(uses))
	for _, u := range uses {
		out = append(out, watch.CustomerUse(u))
	}
	return out
}

// ReceiveCustomers applies the counts of requests admitted by all entry instances, which were
// requested at the given time.
func (e *Entry) ReceiveCustomers(counts []*fleetpb.CustomerCount, requested time.Time) {
	e.Quota.SetCounts(requested, counts)
}

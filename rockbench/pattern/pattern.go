// SPDX-License-Identifier: MIT

// Package pattern names the loads that a policy of admission and placement has to bear.
//
// Each [Pattern] is a deployment of the emulator with what befalls it, and a line on where it occurs. They share one
// deployment, so that what differs between two of them is the load; their figures are drawn from no deployment that
// anybody runs.
package pattern

import "rockbarrow.dev/rockbench/emulator"

// Pattern is a load and where it occurs.
type Pattern struct {
	name, about string
	change      func(d *emulator.Deployment)
}

// Name returns the pattern's name.
func (p Pattern) Name() string { return p.name }

// About says where the load occurs and what makes it hard.
func (p Pattern) About() string { return p.about }

// Deployment returns the pattern as the emulator plays it.
func (p Pattern) Deployment() *emulator.Deployment {
	d := base()
	p.change(d)
	return d
}

const (
	// calm is the load of a quiet day, as a share of what full engines carry.
	calm = 0.45
	// day is how long programs arrive, in seconds; trouble comes at begin and has gone by end, so that the last
	// quarter shows whether a policy recovers.
	day, begin, end = 24.0, 4.0, 12.0
)

// base is a quiet day of twelve engines behind eight entry instances.
func base() *emulator.Deployment {
	d := &emulator.Deployment{Name: "base", Entries: 8, Seconds: day, NewsMS: 300, WayMS: 20}
	d.Engine = emulator.Engine{
		Count: 12, Slots: 16, Queue: 48, CacheTokens: 120_000, StepMS: 5, StepPerCallMS: 0.05, StepPerKMS: 0.004, ReadPerMS: 40, Piece: 2048,
	}
	d.Kinds = []emulator.Kind{
		{Name: "short", Share: 4, Priority: 1, Turns: 3, SharedTokens: 512, Prefixes: 3, InputTokens: 400, OutputTokens: 60, PauseMS: 150, Aim: 2, ObjectiveMS: 250, Worth: 3, LateWorth: 1},
		{Name: "lesson", Share: 1, Turns: 9, SharedTokens: 1024, Prefixes: 3, InputTokens: 300, OutputTokens: 60, PauseMS: 150, Aim: 2, ObjectiveMS: 250, Worth: 10, LateWorth: 3},
	}
	d.PerSecond = calm * d.Carries()
	return d
}

// burst multiplies the arrivals of a kind, or of all, during the trouble.
func burst(kind string, x float64) emulator.Burst {
	return emulator.Burst{Kind: kind, AtS: begin, ForS: end - begin, X: x}
}

// All returns the patterns in the order in which they are told.
func All() []Pattern {
	return []Pattern{
		{"calm", "a quiet day: whatever is lost is lost to the policy", func(*emulator.Deployment) {}},
		{"burst_of_all", "news, a campaign, the begin of a lesson hour: four times the programs for 8 s", func(d *emulator.Deployment) {
			d.Bursts = []emulator.Burst{burst("", 4)}
		}},
		{"burst_of_one_kind", "one product is in demand: six times the short programs, beside lessons that are worth more", func(d *emulator.Deployment) {
			d.Bursts = []emulator.Burst{burst("short", 6)}
		}},
		{"burst_at_one_entry", "the clients of one failure domain: an even share of the places is too little there and too much elsewhere", func(d *emulator.Deployment) {
			b := burst("", 2.5)
			b.Entries = 0.25
			d.Bursts = []emulator.Burst{b}
		}},
		{"long_beside_short", "few programs of forty turns among many of three: the long ones fail as a whole if one turn is refused", func(d *emulator.Deployment) {
			d.Kinds[1].Turns, d.Kinds[1].Worth, d.Kinds[1].LateWorth, d.Kinds[1].Share = 40, 40, 12, 0.2
			d.PerSecond = calm * d.Carries()
			d.Bursts = []emulator.Burst{burst("short", 5)}
		}},
		{"runaways", "programs that loop until they are stopped: each takes what twenty others need and earns nothing", func(d *emulator.Deployment) {
			d.Kinds[0].Runaway, d.Kinds[0].RunawayTurns = 0.1, 60
		}},
		{"all_return_at_once", "all engines are away for a second: whoever was cut off comes back in the same moment (synchronised retries)", func(d *emulator.Deployment) {
			d.Restarts = []emulator.Restart{{AtS: begin, Share: 1, Times: 1, DownS: 1}}
		}},
		{"capacity_lost_in_a_burst", "a third of the engines is away for 4 s just as twice the programs come", func(d *emulator.Deployment) {
			d.Bursts = []emulator.Burst{burst("", 2)}
			d.Restarts = []emulator.Restart{{AtS: begin + 1, Share: 0.34, Times: 1, DownS: 4}}
		}},
		{"slow_engines", "a quarter of the engines works five times as long for 8 s, and says that it is well", func(d *emulator.Deployment) {
			d.Slow = []emulator.Slow{{AtS: begin, ForS: end - begin, Share: 0.25, X: 5}}
		}},
		{"empty_engines", "half of the engines start again and are back at once, with nothing in their caches and no load", func(d *emulator.Deployment) {
			d.Restarts = []emulator.Restart{{AtS: begin, Share: 0.5, Times: 1}}
		}},
		{"little_memory", "places are free and memory is not: five calls fill an engine of sixteen places", func(d *emulator.Deployment) {
			d.Engine.CacheTokens = 12_000
			d.PerSecond = calm * d.Carries()
			d.Bursts = []emulator.Burst{burst("", 1.5)}
		}},
		{"overload_for_long", "three times what the engines carry for most of the day: it must pass once the load has gone (metastable failure)", func(d *emulator.Deployment) {
			d.Bursts = []emulator.Burst{{AtS: 1, ForS: 14, X: 3 / calm}}
		}},
		{"many_entries", "eighty entry instances before the same engines: 2.4 places each, and news as old as before", func(d *emulator.Deployment) {
			d.Entries = 80
			d.Bursts = []emulator.Burst{burst("", 3)}
		}},
		{"three_hundred_entries", "less than one place for each entry instance", func(d *emulator.Deployment) {
			d.Entries = 300
			d.Bursts = []emulator.Burst{burst("", 3)}
		}},
	}
}

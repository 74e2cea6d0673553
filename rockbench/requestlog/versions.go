// SPDX-License-Identifier: MIT

package requestlog

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"
)

// Messages about a configuration on its way to the entry instances.
const (
	operatorCall = "an operator's call"
	chosen       = "a configuration is chosen"
	tableMade    = "the routing table of a configuration is made"
	tableInForce = "a configuration is in force"
	restored     = "votes were restored"
)

// replaceCall is the call that sends a configuration.
const replaceCall = "POST /v1/config/replace"

// stage is a step of a configuration at one instance.
type stage int

// The stages, in the order of the table.
const (
	// heard is the receipt of a state with the configuration, made the completion of a control instance's routing table, and
	// inForce the activation at an entry instance.
	heard stage = iota
	made
	inForce
	stages
)

// Versions measures how long each configuration took from its first acknowledgement through its stages, and lists the
// states that voters restored at their starts. Events may be added in any order. The zero value is ready.
type Versions struct {
	versions map[uint64]*version
	restores []Event
}

// version is one configuration.
type version struct {
	// acknowledged is the first acknowledgement, by the instance of that name.
	acknowledged time.Duration
	by           string
	refused      int
	// reached holds the first time of each stage by instance. Later times belong to restarted instances.
	reached [stages]map[string]time.Duration
	// tables holds the digests of the tables that the configuration was validated as, and that were made of it.
	tables map[string]bool
}

// Add takes an event.
func (t *Versions) Add(e Event) {
	switch {
	case e.Message == restored:
		t.restores = append(t.restores, e)
	case e.ConfigVersion == 0:
	case e.Message == operatorCall && e.Call == replaceCall:
		t.version(e.ConfigVersion).answer(e)
	case e.Message == chosen:
		t.version(e.ConfigVersion).addTable(e)
	case Step(e.Message) == StepState:
		t.version(e.ConfigVersion).reach(heard, e)
	case e.Message == tableMade:
		t.version(e.ConfigVersion).reach(made, e)
		t.version(e.ConfigVersion).addTable(e)
	case e.Message == tableInForce:
		t.version(e.ConfigVersion).reach(inForce, e)
		t.version(e.ConfigVersion).addTable(e)
	}
}

func (t *Versions) version(n uint64) *version {
	if t.versions == nil {
		t.versions = map[uint64]*version{}
	}
	if t.versions[n] == nil {
		t.versions[n] = &version{}
	}
	return t.versions[n]
}

// answer records a reply to an operator.
func (v *version) answer(e Event) {
	switch {
	case e.Status == http.StatusOK && (v.by == "" || e.At < v.acknowledged):
		v.acknowledged, v.by = e.At, e.Instance
	case e.Status >= http.StatusBadRequest && e.Status < http.StatusInternalServerError:
		v.refused++
	}
}

func (v *version) reach(s stage, e Event) {
	if v.reached[s] == nil {
		v.reached[s] = map[string]time.Duration{}
	}
	if at, ok := v.reached[s][e.Instance]; !ok || e.At < at {
		v.reached[s][e.Instance] = e.At
	}
}

func (v *version) addTable(e Event) {
	if e.Table == "" {
		return
	}
	if v.tables == nil {
		v.tables = map[string]bool{}
	}
	v.tables[e.Table] = true
}

// Write prints a row for each version and one for each start of a voter. Delays count from the acknowledgement, and are
// negative where an instance was earlier. The last cell is how many different tables the version has: more than one is an error.
func (t *Versions) Write(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "version\tacknowledged\tby\trefused\theard by\tp50\tlast\ttables\tp50\tlast\tin force at\tp50\tlast\tinstance\tdifferent")
	for _, n := range slices.Sorted(maps.Keys(t.versions)) {
		v := t.versions[n]
		fmt.Fprintf(out, "%d\t%s\t%s\t%d", n, v.acknowledgedAt(), cmp.Or(v.by, "-"), v.refused)
		for s := range stages {
			fmt.Fprintf(out, "\t%s", v.delays(s))
		}
		fmt.Fprintf(out, "\t%s\t%d\n", v.last(inForce), len(v.tables))
	}
	for _, e := range t.restores {
		fmt.Fprintf(out, "restored\t%v\t%s\tversion %d\tstate %d\n", round(e.At), e.Instance, e.ConfigVersion, e.State)
	}
	return out.Flush()
}

func (v *version) acknowledgedAt() string {
	if v.by == "" {
		return "-"
	}
	return round(v.acknowledged).String()
}

// delays returns three cells: how many instances reached a stage, and how long after the acknowledgement the middle and
// the last of them did.
func (v *version) delays(s stage) string {
	times := slices.Sorted(maps.Values(v.reached[s]))
	if len(times) == 0 || v.by == "" {
		return fmt.Sprintf("%d\t-\t-", len(times))
	}
	return fmt.Sprintf("%d\t%v\t%v", len(times), round(times[len(times)/2]-v.acknowledged), round(times[len(times)-1]-v.acknowledged))
}

// last names the instance that reached a stage last.
func (v *version) last(s stage) string {
	name := "-"
	for _, i := range slices.Sorted(maps.Keys(v.reached[s])) {
		if name == "-" || v.reached[s][i] > v.reached[s][name] {
			name = i
		}
	}
	return name
}

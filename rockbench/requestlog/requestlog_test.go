// SPDX-License-Identifier: MIT

package requestlog

import (
	"strings"
	"testing"
)

const text = `   1.25 entry-a {"msg":"request ended","instance":"a","status":200,"took_ms":10,"own_ms":2,"waited_ms":0,"reason":""}
no json here
{"msg":"starting","status":"a text"}
{"msg":"request ended","status":503,"took_ms":3,"reason":"entry: endpoint i-12ab at 10.0.0.1:80 did not run it"}
{"msg":"request ended","status":503,"took_ms":5,"reason":"entry: endpoint i-99ff at 10.0.0.2:80 did not run it"}
{"msg":"request ended","status":0,"took_ms":700,"reason":"the client left"}
`

func TestTableSumsUpByOutcome(t *testing.T) {
	var table Table
	if err := Read(strings.NewReader(text), table.Add); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := table.Write(&out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(out.String(), "\n")
	if len(lines) != 5 || !strings.HasPrefix(lines[1], "2 ") || !strings.HasSuffix(lines[1], "503 entry: endpoint # at # did not run it") {
		t.Errorf("%s", out.String())
	}
}

func TestALineThatIsCutShortIsNamed(t *testing.T) {
	err := Read(strings.NewReader("ok\n{\"msg\":\"request ended\",\"status\":2"), func(Line) {})
	if err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("%v", err)
	}
}

// TestProgramsCountByTheGravest: a program that waited and then lost an answer counts as
// one that lost an answer.
func TestProgramsCountByTheGravest(t *testing.T) {
	var programs Programs
	for _, l := range []Line{
		{Program: "1", Status: 200, Waited: 200}, {Program: "1", Status: 0}, {Program: "1", Status: 200},
		{Program: "2", Status: 200}, {Program: "3", Status: 503}, {Status: 502},
	} {
		programs.Add(l)
	}
	var out strings.Builder
	if err := programs.Write(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"1         0.3333  answer cut", "1         0.3333  refused", "0         0.0000  waited for a place", "1         0.3333  nothing of these"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s\nlacks %q", out.String(), want)
		}
	}
}

// TestWavesOfStarts: two instances lose power together, and one restarts later.
func TestWavesOfStarts(t *testing.T) {
	const log = `  1.000 a {"msg":"starting","role":"entry","instance":"a"}
  1.200 b {"msg":"starting","role":"entry","instance":"b"}
  1.300 c {"msg":"starting","role":"control","instance":"c"}
  1.500 a {"msg":"a newer state is in force","role":"entry","instance":"a"}
  1.600 b {"msg":"a newer state is in force","role":"entry","instance":"b"}
  1.700 a {"msg":"readiness has changed","role":"entry","instance":"a","ready":true}
  9.000 a {"msg":"starting","role":"entry","instance":"a"}
{"msg":"readiness has changed","role":"entry","instance":"other","ready":true,"time":"2026-01-25T17:24:14.5Z"}
`
	var lives Lives
	if err := ReadEvents(strings.NewReader(log), lives.Add); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := lives.Write(&out); err != nil {
		t.Fatal(err)
	}
	rows := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(rows) != 4 || strings.Join(strings.Fields(rows[2]), " ") != "2 entry 1s 1.2s 500ms 500ms - - 700ms 700ms 0 0 1" {
		t.Errorf("%s", out.String())
	}
}

// TestEndsWithoutAWordAreCounted: of two processes that run again, one was stopped and the
// other died without a line; a third says why it failed, and then that it stopped.
func TestEndsWithoutAWordAreCounted(t *testing.T) {
	const log = `  1.0 a {"msg":"starting","role":"store","instance":"a"}
  1.0 b {"msg":"starting","role":"store","instance":"b"}
  1.0 c {"msg":"starting","role":"store","instance":"c"}
  2.0 a {"msg":"stopped","role":"store","instance":"a"}
  2.0 c {"msg":"failed","role":"store","instance":"c"}
  2.0 c {"msg":"stopped","role":"store","instance":"c"}
  5.0 a {"msg":"starting","role":"store","instance":"a"}
  5.0 b {"msg":"starting","role":"store","instance":"b"}
`
	var lives Lives
	if err := ReadEvents(strings.NewReader(log), lives.Add); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := lives.Write(&out); err != nil {
		t.Fatal(err)
	}
	rows := strings.Split(strings.TrimSpace(out.String()), "\n")
	for i, want := range map[int]string{1: "1 1 1", 2: "0 0 0"} {
		if got := strings.Join(strings.Fields(rows[i]), " "); !strings.HasSuffix(got, want) {
			t.Errorf("row %d: %s, want the ends %s", i, got, want)
		}
	}
}

// FuzzRead feeds lines of any kind.
func FuzzRead(f *testing.F) {
	f.Add(text)
	f.Fuzz(func(t *testing.T, s string) {
		var table Table
		// An error is a proper answer to lines that are none.
		_ = Read(strings.NewReader(s), table.Add)
		var lives Lives
		_ = ReadEvents(strings.NewReader(s), lives.Add)
	})
}

// TestVersionsTellWhichStageWasLate: an incident's logs could not tell whether a version was late at control, in the making of
// its table or at an entry, nor which version a voter came back with.
func TestVersionsTellWhichStageWasLate(t *testing.T) {
	const log = `  1.0 c1 {"msg":"an operator's call","role":"control","instance":"c1","call":"POST /v1/config/replace","status":200,"config_version":7}
  1.2 c2 {"msg":"an operator's call","role":"control","instance":"c2","call":"POST /v1/config/replace","status":200,"config_version":7}
  1.1 c2 {"msg":"a newer state is in force","role":"control","instance":"c2","config_version":7,"state":9}
  1.3 e1 {"msg":"a newer state is in force","role":"entry","instance":"e1","config_version":7,"state":9}
  1.1 c1 {"msg":"the routing table of a configuration is made","role":"control","instance":"c1","config_version":7,"table":"aa"}
  1.0 c1 {"msg":"a configuration is chosen","role":"control","instance":"c1","config_version":7,"table":"bb"}
  1.4 e1 {"msg":"a configuration is in force","role":"entry","instance":"e1","config_version":7,"table":"aa"}
  2.9 e2 {"msg":"a configuration is in force","role":"entry","instance":"e2","config_version":7}
  3.0 c1 {"msg":"an operator's call","role":"control","instance":"c1","call":"POST /v1/config/replace","status":400,"config_version":8}
  5.0 c2 {"msg":"votes were restored","role":"control","instance":"c2","config_version":6,"state":8}
`
	var versions Versions
	if err := ReadEvents(strings.NewReader(log), versions.Add); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := versions.Write(&out); err != nil {
		t.Fatal(err)
	}
	rows := strings.Split(strings.TrimSpace(out.String()), "\n")[1:]
	for i, want := range []string{
		"7 1s c1 0 2 300ms 300ms 1 100ms 100ms 2 1.9s 1.9s e2 2",
		"8 - - 1 0 - - 0 - - 0 - - - 0",
		"restored 5s c2 version 6 state 8",
	} {
		if got := strings.Join(strings.Fields(rows[i]), " "); got != want {
			t.Errorf("row %d: %s, want %s", i, got, want)
		}
	}
}

// TestEndsAreCountedOverAttempts: one request ended an endpoint at each of two instances, under an id of its own each time.
func TestEndsAreCountedOverAttempts(t *testing.T) {
	const log = `{"msg":"request ended","instance":"a","request":"r-1","program":"p","key":"k","status":502,"executions":[{"endpoint":"e-1","born_ms":5,"result":"lost","ended":true},{"endpoint":"e-2","born_ms":6,"result":"lost","ended":false,"granted":true,"known_ends":1}]}
{"msg":"request ended","instance":"b","request":"r-2","program":"p","key":"k","status":502,"executions":[{"endpoint":"e-1","born_ms":9,"result":"lost","ended":false}]}
{"msg":"an endpoint has ended with requests in progress","role":"entry","endpoint":"e-1","born_ms":9,"in_progress":2,"participants":[{"key":"k"},{"key":"other"}]}
`
	var ends Ends
	if err := Read(strings.NewReader(log), ends.Add); err != nil {
		t.Fatal(err)
	}
	if err := ReadEvents(strings.NewReader(log), ends.AddEvent); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := ends.Write(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"2      3     1        2             1           2         2          2                    true           502          p", "1 endpoints ended with requests in progress; requests by ended endpoints: map[1:1 2:1]"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s\nlacks %q", out.String(), want)
		}
	}
}

// TestLostTurnsAreToldFromForgedNames: 64 turns were answered with 404, and the logs of all instances could not tell a turn that was
// acknowledged and lost from a name that nobody was ever given.
func TestLostTurnsAreToldFromForgedNames(t *testing.T) {
	const log = `  1.0 a {"msg":"starting","role":"entry","instance":"a"}
  2.0 a {"msg":"request ended","instance":"a","request":"t-1","status":200,"took_ms":500,"stores":["s-1","s-2"],"view":4}
  2.1 a {"msg":"request ended","instance":"a","request":"t-2","previous":"t-1","status":0,"reason":"the turn was not stored: stores: unavailable under view 4: s-1: gone"}
  3.0 b {"msg":"request ended","instance":"b","request":"t-3","previous":"t-1","status":404,"took_ms":5,"reason":"stores: unknown turn t-1","stores":["s-3","s-4"],"view":6,"view_change":true,"incomplete":["s-4"]}
  3.1 b {"msg":"request ended","instance":"b","request":"t-4","previous":"t-2","status":404,"took_ms":5,"reason":"stores: unknown turn t-2","stores":["s-3","s-4"],"view":6}
  3.2 b {"msg":"request ended","instance":"b","request":"t-5","previous":"forged","status":404,"took_ms":5,"reason":"stores: unknown turn forged","stores":["s-3","s-4"],"view":6}
  3.3 b {"msg":"request ended","instance":"b","request":"t-6","previous":"t-7","status":404,"took_ms":5,"reason":"stores: unknown turn t-7","stores":["s-3","s-4"],"view":6}
  3.4 b {"msg":"request ended","instance":"b","request":"t-8","previous":"t-7","status":503,"took_ms":5,"reason":"stores: unavailable under view 0: turn t-1 is missing from the chain"}
  3.5 b {"msg":"request ended","instance":"b","request":"t-9","status":404,"took_ms":5,"reason":"no route"}
  3.6 a {"msg":"request ended","instance":"a","request":"t-7","status":200,"took_ms":500,"stores":["s-1","s-2"],"view":6}
{"level":"warning","msg":"log lines were dropped","lines":3}
  4.0 a {"msg":"starting","role":"entry","instance":"a"}
`
	var turns Turns
	if err := Read(strings.NewReader(log), turns.Add); err != nil {
		t.Fatal(err)
	}
	if err := ReadEvents(strings.NewReader(log), turns.AddEvent); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := turns.Write(&out); err != nil {
		t.Fatal(err)
	}
	rows := strings.Split(strings.TrimSpace(out.String()), "\n")[1:]
	want := []string{
		"t-1 404 3s b 6 s-3,s-4 s-4 2s a 4 s-1,s-2 t-3",
		"t-1 503 3.4s b 0 - - 2s a 4 s-1,s-2 t-8",
		"5 turns were not found: 1 had been acknowledged before, 1 were acknowledged during or after it, 1 had a predecessor that was not found, " +
			"and no line tells that 2 others were ever acknowledged; 2 turns were acknowledged; 3 lines were dropped, and 1 entry instances ended without a word",
	}
	if len(rows) != len(want) {
		t.Fatalf("%s", out.String())
	}
	for i := range want {
		if got := strings.Join(strings.Fields(rows[i]), " "); got != want[i] {
			t.Errorf("row %d: %s, want %s", i, got, want[i])
		}
	}
}

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

// FuzzRead feeds lines of any kind.
func FuzzRead(f *testing.F) {
	f.Add(text)
	f.Fuzz(func(t *testing.T, s string) {
		var table Table
		// An error is a proper answer to lines that are none.
		_ = Read(strings.NewReader(s), table.Add)
	})
}

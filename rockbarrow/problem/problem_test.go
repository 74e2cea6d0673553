// SPDX-License-Identifier: MIT

package problem

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

func TestEveryTypeIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/CALLERS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, typ := range Types() {
		row := fmt.Sprintf("| `%s` | %d |", typ, New(typ, "").GetStatus())
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/CALLERS.md lacks the row %q", row)
		}
	}
}

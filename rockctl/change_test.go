// SPDX-License-Identifier: MIT

package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rockbarrow.dev/schema/configpb"
)

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "d.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestFileBecomesADocument(t *testing.T) {
	doc, err := readDocument(write(t, `
[[customers]]
name = "club"
weight = 2
[[bindings]]
name = "east-only"
domains = ["east"]
[[withdrawals]]
subject = "west"
mode = "MODE_DRAIN"
`))
	if err != nil {
		t.Fatal(err)
	}
	if doc.GetCustomers()[0].GetWeight() != 2 || doc.GetBindings()[0].GetDomains()[0] != "east" || doc.GetWithdrawals()[0].GetMode() != configpb.Withdrawal_MODE_DRAIN {
		t.Fatalf("document %v lacks what the file says", doc)
	}
}

func TestUnknownKeyIsAUsageError(t *testing.T) {
	_, err := readDocument(write(t, "[[customers]]\nname = \"club\"\ncolour = 1\n"))
	var usage *UsageError
	if !errors.As(err, &usage) || !strings.Contains(err.Error(), "colour") {
		t.Fatalf("error %v, want one that names the key", err)
	}
}

func TestDifferenceNamesWhatChanges(t *testing.T) {
	now := &configpb.Document{Models: []*configpb.Model{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
	want := &configpb.Document{Models: []*configpb.Model{{Name: "a"}, {Name: "b", Version: "2"}, {Name: "d"}}}
	d := diff(now, want, false)
	if got := strings.Join(d.lines, ","); got != "~ model b,+ model d" {
		t.Fatalf("lines %q", got)
	}
	d = diff(now, want, true)
	if got := strings.Join(d.lines, ","); got != "~ model b,+ model d,- model c" || len(d.command.GetChanges()) != 3 {
		t.Fatalf("lines %q with %d changes", got, len(d.command.GetChanges()))
	}
}

func TestExitCodesFollowTheClass(t *testing.T) {
	for code, want := range map[codes.Code]int{
		codes.InvalidArgument: exitInvalid, codes.Aborted: exitConflict, codes.Unavailable: exitUnavailable,
		codes.Unknown: exitUndetermined, codes.PermissionDenied: exitPermission, codes.NotFound: exitNotFound, codes.Internal: exitFailed,
	} {
		if got := exitCode(status.Error(code, "x")); got != want {
			t.Errorf("%v ends with %d, want %d", code, got, want)
		}
	}
	if exitCode(nil) != 0 || exitCode(&UsageError{}) != exitUsage || exitCode(errors.New("x")) != exitFailed {
		t.Error("wrong code without a status")
	}
}

func TestSinceTakesTimesAndSpans(t *testing.T) {
	now := time.UnixMilli(10_000_000)
	if got, err := sinceMS("2h", now); err != nil || got != 10_000_000-7_200_000 {
		t.Fatalf("%d, %v", got, err)
	}
	if _, err := sinceMS("yesterday", now); err == nil {
		t.Fatal("a word was taken for a time")
	}
}

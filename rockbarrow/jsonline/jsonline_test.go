// SPDX-License-Identifier: MIT

package jsonline

import (
	"math"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

func entry() *logrus.Entry {
	return &logrus.Entry{
		Logger: logrus.New(), Time: time.Date(2026, 12, 3, 5, 6, 7, 89, time.UTC), Level: logrus.WarnLevel, Message: "a \"line\" of <text> & é\n",
		Data: logrus.Fields{
			"request": "9c41", "took_ms": int64(-7), "offers": 3, "config_version": uint64(1 << 63), "small": uint32(4), "ready": true,
			"error": errors.New("it failed:\t\xff"), "failure_domains": []string{"a", "b"}, "share": 0.25, "level": "named like the line's", "zz": nil,
			"empty": "", "none": []string(nil),
		},
	}
}

// TestALineIsThatOfTheLibrary: whoever reads the lines notices no difference.
func TestALineIsThatOfTheLibrary(t *testing.T) {
	for _, e := range []*logrus.Entry{entry(), {Logger: logrus.New(), Message: "bare", Data: logrus.Fields{}}} {
		want, err := (&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano, DisableHTMLEscape: false}).Format(e)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Formatter{}.Format(e)
		if err != nil || string(got) != string(want) {
			t.Errorf("%s\nwant %s%v", got, want, err)
		}
	}
}

// TestWhatIsNoNumberIsAText: JSON has no such numbers, and the library drops the whole line.
func TestWhatIsNoNumberIsAText(t *testing.T) {
	e := entry()
	e.Data = logrus.Fields{"share": math.NaN()}
	if b, err := (Formatter{}).Format(e); err != nil || len(b) == 0 {
		t.Errorf("%s, %v", b, err)
	}
	e.Data = logrus.Fields{"f": func() {}}
	if _, err := (Formatter{}).Format(e); err == nil {
		t.Error("a function was written")
	}
}

func BenchmarkFormat(b *testing.B) {
	e := entry()
	delete(e.Data, "failure_domains")
	for name, f := range map[string]logrus.Formatter{"own": Formatter{}, "library": &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := f.Format(e); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// SPDX-License-Identifier: MIT

package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/sirupsen/logrus"
)

// endedLine is the part of a request's last line that tells about its turn.
type endedLine struct {
	Request    string   `json:"request"`
	Status     int      `json:"status"`
	Stores     []string `json:"stores"`
	View       uint64   `json:"view"`
	Incomplete []string `json:"incomplete"`
}

// TestLinesTellWhichStoresAnswered guards against a turn that was acknowledged and lost of which no line tells that it was
// acknowledged, so that its 404 looks like that of a name that nobody was ever given.
func TestLinesTellWhichStoresAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := startStores(t)
		serve := func(path, id, previous string) endedLine {
			e := newStreamEntry(t, view, &fakeSender{responses: []func(EndpointRequest) (*Response, error){respond(200, events(1, 3))}})
			log := logrus.New()
			var out bytes.Buffer
			log.SetOutput(&out)
			log.SetFormatter(&logrus.JSONFormatter{})
			e.Log = logrus.NewEntry(log)
			r := newTurn(path, id, "p", 0)
			r.PreviousTurn = previous
			e.Serve(t.Context(), r, &fakeWriter{})
			var l endedLine
			if err := json.Unmarshal(out.Bytes(), &l); err != nil {
				t.Fatalf("%v in %s", err, out.String())
			}
			return l
		}
		for _, test := range []struct {
			path, id, previous string
			status             int
			// least is the least number of stores that are named.
			least int
		}{
			{"k", "1", "", http.StatusOK, 2},
			{"k", "2", "1", http.StatusOK, 2},
			{"k", "3", "forged", http.StatusNotFound, 2},
			{"r", "4", "", http.StatusOK, 0},
		} {
			l := serve(test.path, test.id, test.previous)
			named := len(l.Stores) >= test.least && (test.least > 0) == (len(l.Stores) > 0) && (test.least > 0) == (l.View == view.GetEpoch())
			if l.Request != test.id || l.Status != test.status || !named || l.Incomplete != nil {
				t.Errorf("%+v: %+v", test, l)
			}
		}
	})
}

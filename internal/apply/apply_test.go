package apply

import (
	"strings"
	"testing"
	"time"

	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"github.com/matryer/is"
)

// Guards against two owners of a key after a service is removed and added again
// with other cells: a host that missed the removal still uses the old cells.
func TestRemovedService(t *testing.T) {
	is := is.New(t)
	none := make(map[keys.DataCentre]config.Config)
	for site := range sites(4, 1) {
		doc, _ := config.Parse("", []byte(`{"site": "`+string(site)+`", "services": {}}`))
		none[site], _ = doc.Config()
	}
	tests := []struct {
		name  string
		sites map[keys.DataCentre]config.Config
		want  Outcome
	}{
		{"first", sites(4, 1), Accepted},
		{"removed", none, Accepted},
		{"other cells", sites(4, 2), Refused},
		{"same cells", sites(5, 1), Accepted},
		{"other cells again", sites(5, 2), Refused},
	}
	cur := storedRevision{}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			req := Request{
				Author: "moana", Time: time.Unix(0, 0), PlannedFrom: cur.rev.Number(), Sites: tt.sites,
				Override: []string{"no-services", "service-removed"},
			}
			res, next := decide(cur, req, nil, nil)
			is.Equal(res.Outcome, tt.want)
			if res.Outcome != Accepted {
				is.True(strings.Contains(res.Reason, "dataCentres can't change"))
				return
			}
			b, err := config.EncodeRevision(next)
			is.NoErr(err)
			stored, err := config.DecodeRevision(b)
			is.NoErr(err)
			is.Equal(stored, next)
			cur = storedRevision{rev: stored, version: cur.version + 1, bytes: b}
		})
	}
	is.Equal(len(cur.rev.Retired()), 0)
}

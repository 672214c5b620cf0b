package lwentry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
)

func teamObjects(specs map[string]lwticket.TeamSpec) map[lwticket.Key]lwstate.ObjectRecord {
	objects := make(map[lwticket.Key]lwstate.ObjectRecord)
	for name, spec := range specs {
		k := lwticket.Key{Kind: lwticket.KindTeam, Name: name}
		objects[k] = lwstate.ObjectRecord{Object: lwticket.Object{Key: k, Spec: spec}}
	}
	return objects
}

// A digest is a number in hexadecimal, which several tools print in upper case. Such a
// token must be known too, not accepted with its ticket and then refused.
func TestDigestInUpperCaseMatches(t *testing.T) {
	is := is.New(t)
	digest := lwticket.TokenDigest("secret")
	grants := tokenGrants(teamObjects(map[string]lwticket.TeamSpec{
		"t": {Tokens: []lwticket.Token{{Role: lwticket.RoleSubmitter, SHA256: strings.ToUpper(digest)}}},
	}))
	is.Equal(grants[digest], grant{"t", lwticket.RoleSubmitter})

	e := &Entry{cfg: Config{OperatorTokenSHA256: strings.ToUpper(lwticket.TokenDigest("operator secret"))}}
	r := httptest.NewRequest(http.MethodGet, "/v1/status", http.NoBody)
	r.Header.Set("Authorization", "Bearer operator secret")
	g, err := e.authenticate(&policy{}, r, lwticket.RoleOperator)
	is.NoErr(err)
	is.Equal(g.role, lwticket.RoleOperator)
}

// A token that tickets granted to two teams must count for the same one at all entries
// and at all times.
func TestTokenOfTwoTeamsIsAlwaysTheSame(t *testing.T) {
	is := is.New(t)
	digest := lwticket.TokenDigest("secret")
	objects := teamObjects(map[string]lwticket.TeamSpec{
		"t": {Tokens: []lwticket.Token{{Role: lwticket.RoleCaller, SHA256: digest}}},
		"u": {Tokens: []lwticket.Token{{Role: lwticket.RoleCaller, SHA256: digest}}},
		"v": {Tokens: []lwticket.Token{{Role: lwticket.RoleCaller, SHA256: digest}}},
	})
	first := tokenGrants(objects)[digest]
	for range 100 {
		is.Equal(tokenGrants(objects)[digest], first)
	}
}

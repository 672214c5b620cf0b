package lwentry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/control/lwstate"
	"lavenderweir.example/lavenderweir/internal/control/lwticket"
	"lavenderweir.example/lavenderweir/internal/net/lwheader"
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

// Before the first policy has arrived an entry knows no team's token. It must ask the
// sender to come back, not tell the sender of a valid token that it is unknown.
func TestTokenBeforeFirstPolicy(t *testing.T) {
	call := func(token string, p *policy) *httptest.ResponseRecorder {
		e := &Entry{cfg: Config{OperatorTokenSHA256: lwticket.TokenDigest("operator secret")}}
		e.policy.Store(p)
		r := httptest.NewRequest(http.MethodGet, "/v1/jobs", http.NoBody)
		if token != "" {
			r.Header.Set("Authorization", "Bearer "+token)
		}
		w := httptest.NewRecorder()
		e.requireRole(lwticket.RoleSubmitter, func(w http.ResponseWriter, _ *http.Request, _ grant) { w.WriteHeader(http.StatusOK) })(w, r)
		return w
	}
	t.Run("a team's token gets 503 and may be sent again", func(t *testing.T) {
		is := is.New(t)
		w := call("team secret", &policy{})
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(w.Header().Get(lwheader.Outcome), lwheader.NotRun)
		is.Equal(w.Header().Get("Retry-After"), "1")
	})
	t.Run("the operator token of the settings needs no policy", func(t *testing.T) {
		is.New(t).Equal(call("operator secret", &policy{}).Code, http.StatusOK)
	})
	t.Run("a request without a token gets 401", func(t *testing.T) {
		is.New(t).Equal(call("", &policy{}).Code, http.StatusUnauthorized)
	})
	t.Run("an unknown token gets 401 once a policy has arrived", func(t *testing.T) {
		is.New(t).Equal(call("team secret", &policy{confirmedAt: time.Now()}).Code, http.StatusUnauthorized)
	})
}

package lwcommand

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/control/lwevacuation"
	"lavenderweir.example/lavenderweir/internal/control/lwlink"
	"lavenderweir.example/lavenderweir/internal/net/lwheader"
	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
)

// runAgainst runs a command line against an entry that knows the domains hitoyoshi and
// "a b", and returns its output and exit code.
func runAgainst(t *testing.T, args ...string) (stdout, stderr string, code int) {
	t.Helper()
	evacuated := lwevacuation.Record{Evacuated: true, Revision: 7, At: 1_796_340_137_131, By: "team engraving through entry-1"}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/domains", func(w http.ResponseWriter, _ *http.Request) {
		lwhttp.WriteJSON(w, http.StatusOK, []lwlink.DomainStatus{
			{Name: "hitoyoshi", Record: evacuated, Workers: 4, Tasks: 2, Backends: 3}, {Name: "minamata", Workers: 5},
		})
	})
	answer := func(rec lwevacuation.Record) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if d := r.PathValue("domain"); d != "hitoyoshi" && d != "a b" {
				w.Header().Set(lwheader.Outcome, lwheader.NotRun)
				lwhttp.WriteProblem(w, lwfault.New(lwfault.NotFound, "there is no failure domain %q that may be evacuated", d))
				return
			}
			lwhttp.WriteJSON(w, http.StatusOK, rec)
		}
	}
	mux.HandleFunc("POST /v1/domains/{domain}/evacuate", answer(evacuated))
	mux.HandleFunc("POST /v1/domains/{domain}/restore", answer(lwevacuation.Record{Revision: 9, At: evacuated.At}))
	server := httptest.NewServer(mux)
	defer server.Close()
	var out, errs bytes.Buffer
	code = Main(append(args, "--server", server.URL, "--token", "t"), &out, &errs)
	return out.String(), errs.String(), code
}

// The verbs must call the paths of the administration API and show what it answers.
func TestDomainVerbs(t *testing.T) {
	cases := []struct {
		args []string
		want []string // in the output
		code int
	}{
		{[]string{"domain", "list"}, []string{"hitoyoshi  evacuated  2026-12-03T23:22:17Z  team engraving through entry-1  4        2      3", "minamata   in use     never"}, ExitOK},
		{[]string{"domain", "evacuate", "hitoyoshi"}, []string{"hitoyoshi  evacuated  2026-12-03T23:22:17Z"}, ExitOK},
		{[]string{"domain", "evacuate", "a b"}, []string{"a b     evacuated"}, ExitOK},
		{[]string{"domain", "restore", "hitoyoshi"}, []string{"hitoyoshi  in use"}, ExitOK},
		{[]string{"domain", "restore", "hitoyoshi", "--output", "json"}, []string{`"evacuated": false`, `"revision": 9`}, ExitOK},
		{[]string{"domain", "evacuate", "nowhere"}, nil, ExitNotFound},
	}
	for _, c := range cases {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			is := is.New(t)
			stdout, stderr, code := runAgainst(t, c.args...)
			is.Equal(code, c.code)
			is.Equal(stderr != "", c.code != ExitOK)
			for _, text := range c.want {
				if !strings.Contains(stdout, text) {
					t.Errorf("%q is not in the output:\n%s", text, stdout)
				}
			}
		})
	}
}

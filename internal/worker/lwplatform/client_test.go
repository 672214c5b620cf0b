package lwplatform

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// An agent takes an attempt that the list lacks for lost. A list that did not arrive
// whole must be an error and not a list without attempts.
func TestIncompleteListIsError(t *testing.T) {
	cases := []struct {
		name string
		http.HandlerFunc
	}{
		{"no body", func(http.ResponseWriter, *http.Request) {}},
		{"a body that ends early", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`[{"task": "j/0", "token": 1, "state": "running"}, `))
		}},
		{"a connection that is closed within the body", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`[`))
			panic(http.ErrAbortHandler)
		}},
		{"a problem", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }},
		{"a list under another status", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusAccepted)
			_, _ = w.Write([]byte(`[]`))
		}},
		{"a clock that is no number", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(ClockHeader, "soon")
			_, _ = w.Write([]byte(`[]`))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(c.HandlerFunc)
			defer s.Close()
			_, err := NewClient(s.URL).List(t.Context())
			is.New(t).True(err != nil)
		})
	}
	t.Run("nothing listens", func(t *testing.T) {
		s := httptest.NewServer(http.NotFoundHandler())
		s.Close()
		_, err := NewClient(s.URL).List(t.Context())
		is.New(t).True(err != nil)
	})
	for _, body := range []string{`[]`, `null`} {
		t.Run(body+" is a list without attempts", func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
			defer s.Close()
			l, err := NewClient(s.URL).List(t.Context())
			is.NoErr(err)
			is.Equal(len(l.Attempts), 0)
		})
	}
}

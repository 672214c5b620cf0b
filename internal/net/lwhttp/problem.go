package lwhttp

import (
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
)

const (
	problemContentType  = "application/problem+json"
	jsonContentType     = "application/json"
	bearerPrefix        = "Bearer "
	problemTypePrefix   = "urn:lavenderweir:problem:"
	contentTypeHeader   = "Content-Type"
	contentLengthHeader = "Content-Length"
)

// problemDocument is a problem document as RFC 9457 defines it.
type problemDocument struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Kind   string `json:"kind"`
}

// WriteProblem answers with the status code and the problem document for err.
// The cause of an internal fault is left out.
func WriteProblem(w http.ResponseWriter, err error) {
	f := lwfault.As(err)
	status := f.Kind.HTTPStatus()
	if f.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	detail := f.Detail
	if f.Kind != lwfault.Internal && f.Cause != nil {
		detail += ": " + f.Cause.Error()
	}
	doc := problemDocument{problemTypePrefix + string(f.Kind), strings.ReplaceAll(string(f.Kind), "_", " "), status, detail, string(f.Kind)}
	writeJSONAs(w, status, problemContentType, doc)
}

// WriteJSON answers with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	writeJSONAs(w, status, jsonContentType, v)
}

func writeJSONAs(w http.ResponseWriter, status int, contentType string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, "the answer could not be encoded", http.StatusInternalServerError)
		return
	}
	data = append(data, '\n')
	w.Header().Set(contentTypeHeader, contentType)
	w.Header().Set(contentLengthHeader, strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// ReadProblem returns the fault in an answer with an error status. An answer
// without a problem document becomes an Internal fault.
func ReadProblem(res *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(res.Body, 1<<16))
	if err != nil {
		return fmt.Errorf("read problem document: %w", err)
	}
	var doc problemDocument
	if json.Unmarshal(data, &doc) != nil || doc.Kind == "" {
		return lwfault.New(lwfault.Internal, "status %d: %s", res.StatusCode, strings.TrimSpace(string(data)))
	}
	f := lwfault.New(lwfault.Kind(doc.Kind), "%s", doc.Detail)
	if secs, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil {
		f.RetryAfter = time.Duration(secs) * time.Second
	}
	return f
}

// ReadJSON decodes a request body into v. It rejects unknown fields and data
// after the document.
func ReadJSON(r *http.Request, v any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return &lwfault.Fault{Kind: lwfault.Invalid, Detail: "request body", Cause: err}
	}
	if _, err := dec.Token(); err != io.EOF {
		return lwfault.New(lwfault.Invalid, "request body: data after the document")
	}
	return nil
}

// BearerToken returns the bearer token of r, or "".
func BearerToken(r *http.Request) string {
	h := r.Header.Get("Authorization")
	if !strings.HasPrefix(h, bearerPrefix) {
		return ""
	}
	return h[len(bearerPrefix):]
}

// EqualTokens reports whether two tokens are equal, in time that does not depend
// on their contents.
func EqualTokens(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

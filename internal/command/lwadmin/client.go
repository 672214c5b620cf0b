// Package lwadmin is the client of the administration API for the command line, the
// demo and the test rig.
package lwadmin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
	"lavenderweir.example/lavenderweir/internal/net/lwheader"
	"lavenderweir.example/lavenderweir/internal/net/lwhttp"
)

// callTimeout bounds one call, the answer's body included.
const callTimeout = 15 * time.Second

// Client calls the administration API of one entry.
type Client struct {
	url   string
	token string
	http  *http.Client
}

// New returns a client for the entry at url.
func New(url, token string) *Client {
	return &Client{url: strings.TrimSuffix(url, "/"), token: token, http: &http.Client{Timeout: callTimeout}}
}

// Get reads a resource and decodes it into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, out)
}

// Post sends a document and decodes the answer into out; a nil out discards it. An error
// of kind Unknown says that the change may have been made, as for Delete.
func (c *Client) Post(ctx context.Context, path string, body []byte, out any) error {
	return c.call(ctx, http.MethodPost, path, body, out)
}

// Delete deletes a resource and decodes the answer into out.
func (c *Client) Delete(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodDelete, path, nil, out)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	var connected atomic.Bool // without a connection nothing was sent
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	changes := method != http.MethodGet
	res, err := c.http.Do(req)
	if err != nil {
		if changes && connected.Load() {
			return unknownOutcome(method, path, "may have taken effect", err)
		}
		return &lwfault.Fault{Kind: lwfault.Unavailable, Detail: method + " " + path, Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		err := lwhttp.ReadProblem(res)
		if changes && mayHaveRun(res) {
			return unknownOutcome(method, path, "may have taken effect", err)
		}
		return err
	}
	if out == nil {
		_, err = io.Copy(io.Discard, res.Body)
	} else {
		err = json.NewDecoder(res.Body).Decode(out)
	}
	switch {
	case err == nil:
		return nil
	case changes:
		return unknownOutcome(method, path, "took effect, but its answer cannot be read", err)
	default:
		return fmt.Errorf("decode answer of %s %s: %w", method, path, err)
	}
}

// mayHaveRun reports whether a request that was answered with an error may have taken
// effect. An answer without an outcome is not from an entry but from a balancer, which
// may have lost the entry's answer.
func mayHaveRun(res *http.Response) bool {
	switch res.Header.Get(lwheader.Outcome) {
	case lwheader.Unknown:
		return true
	case "":
		return res.StatusCode >= http.StatusInternalServerError
	default:
		return false
	}
}

// unknownOutcome returns the fault of a change of which the sender must decide whether
// to send it again.
func unknownOutcome(method, path, outcome string, cause error) error {
	advice := "sending the same again is safe"
	for prefix, object := range map[string]string{"/v1/workers/": "worker", "/v1/domains/": "domain"} {
		if strings.HasPrefix(path, prefix) {
			advice = "look at the " + object + " before sending it again, which would undo what another operator has ordered since"
		}
	}
	return &lwfault.Fault{Kind: lwfault.Unknown, Detail: fmt.Sprintf("%s %s %s; %s", method, path, outcome, advice), Cause: cause}
}

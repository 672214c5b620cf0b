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
	"strings"
	"time"

	"lavenderweir.example/lavenderweir/internal/base/lwfault"
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

// Post sends a document and decodes the answer into out; a nil out discards it.
func (c *Client) Post(ctx context.Context, path string, body []byte, out any) error {
	return c.call(ctx, http.MethodPost, path, body, out)
}

// Delete deletes a resource and decodes the answer into out.
func (c *Client) Delete(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodDelete, path, nil, out)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	res, err := c.http.Do(req)
	if err != nil {
		return &lwfault.Fault{Kind: lwfault.Unavailable, Detail: method + " " + path, Cause: err}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return lwhttp.ReadProblem(res)
	}
	if out == nil {
		_, err = io.Copy(io.Discard, res.Body)
	} else {
		err = json.NewDecoder(res.Body).Decode(out)
	}
	if err != nil {
		return fmt.Errorf("decode answer of %s %s: %w", method, path, err)
	}
	return nil
}

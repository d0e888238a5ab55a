package store

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/head"
)

const (
	// maxResponse bounds a response in bytes. The store ends a page or a batch
	// of changes at 4 MiB of values plus at most one value, which is below
	// 7 MiB in base64.
	maxResponse      = 8 << 20
	maxErrorResponse = 4 << 10 // bytes of an error response that are read

	// maxWait bounds the wait of a Watch. A watch without changes then takes
	// two calls a minute of the store's rate limit.
	maxWait = 30 * clock.Second

	defaultConns = 16
	idleTimeout  = 90 * time.Second
)

// Config configures a Client.
type Config struct {
	URL   string      // base of the object API
	Token string      // bearer token; empty: no authentication
	Conns int         // maximum of connections; 0: 16
	TLS   *tls.Config // for https URLs; nil: the system's CAs
}

// Client is an HTTP client of the object API. Calls are limited only by their
// contexts and are never retried.
type Client struct {
	base  string
	token string
	http  *http.Client
}

var _ Store = (*Client)(nil)

// New returns a client with a connection pool of its own.
func New(cfg Config) (*Client, error) {
	u, err := url.Parse(cfg.URL)
	if err != nil {
		return nil, fmt.Errorf("store.New: %w", err)
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, fmt.Errorf("store.New: %q is not an http or https URL", cfg.URL)
	}
	conns := cfg.Conns
	if conns <= 0 {
		conns = defaultConns
	}
	return &Client{
		base:  strings.TrimSuffix(cfg.URL, "/"),
		token: cfg.Token,
		http: &http.Client{
			Transport: head.NewTransport(&http.Transport{
				DialContext:         (&net.Dialer{}).DialContext,
				MaxConnsPerHost:     conns,
				MaxIdleConnsPerHost: conns,
				IdleConnTimeout:     idleTimeout,
				TLSClientConfig:     cfg.TLS,
				DisableCompression:  true, // a small response must not expand beyond maxResponse
			}, nil), // callers report the errors
			// Redirects are not followed: a redirected write could run twice.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, name string) (o Object, err error) {
	defer func() { err = annotate("Get", err) }()
	if err = CheckName(name); err != nil {
		return o, err
	}
	resp, err := c.do(ctx, http.MethodGet, "/objects/"+name, nil, nil)
	if err != nil {
		return o, err
	}
	v, err := parseETag(resp.etag)
	if err != nil {
		return o, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return NewObject(name, v, resp.body), nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, name string, value []byte, ifVersion uint64) (version uint64, err error) {
	defer func() { err = annotate("Put", err) }()
	if err = CheckName(name); err != nil {
		return 0, err
	}
	if len(value) > MaxValue {
		return 0, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(value), MaxValue)
	}
	h := http.Header{}
	if ifVersion == 0 {
		h.Set("If-None-Match", "*")
	} else {
		h.Set("If-Match", formatETag(ifVersion))
	}
	resp, err := c.do(ctx, http.MethodPut, "/objects/"+name, h, value)
	if err != nil {
		return 0, err
	}
	if version, err = parseETag(resp.etag); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrIndeterminate, err)
	}
	return version, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (p Page, err error) {
	defer func() { err = annotate("List", err) }()
	q := url.Values{
		"prefix": {prefix},
		"after":  {after},
		"limit":  {strconv.Itoa(min(max(limit, 1), MaxPage))},
	}
	var v struct {
		Objects  []Object `json:"objects"`
		Next     string   `json:"next"`
		Revision uint64   `json:"revision"`
	}
	if err = c.getJSON(ctx, "/objects?"+q.Encode(), &v); err != nil {
		return p, err
	}
	return Page{objects: v.Objects, next: v.Next, revision: v.Revision}, nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64) (changes []Object, revision uint64, err error) {
	defer func() { err = annotate("Watch", err) }()
	q := url.Values{
		"prefix": {prefix},
		"since":  {strconv.FormatUint(since, 10)},
		"wait":   {strconv.FormatInt(int64(watchWait(ctx)), 10)},
	}
	var v struct {
		Changes  []Object `json:"changes"`
		Revision uint64   `json:"revision"`
	}
	if err = c.getJSON(ctx, "/changes?"+q.Encode(), &v); err != nil {
		return nil, 0, err
	}
	return v.Changes, v.Revision, nil
}

// Hosts implements Store.
func (c *Client) Hosts(ctx context.Context) (members []Member, err error) {
	defer func() { err = annotate("Hosts", err) }()
	var v struct {
		Members []Member `json:"members"`
	}
	if err = c.getJSON(ctx, "/hosts", &v); err != nil {
		return nil, err
	}
	return v.Members, nil
}

// watchWait returns how long the store may wait for changes. A fifth of the time
// until the call's deadline is left for the response, so that a watch without
// changes ends with a response and its connection can be reused.
func watchWait(ctx context.Context) clock.Span {
	d, ok := ctx.Deadline()
	if !ok {
		return maxWait
	}
	return min(max(clock.FromStd(time.Until(d))*4/5, 0), maxWait)
}

func (c *Client) getJSON(ctx context.Context, path string, v any) error {
	resp, err := c.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(resp.body, v); err != nil {
		return fmt.Errorf("%w: cannot decode the response: %w", ErrUnavailable, err)
	}
	return nil
}

type response struct {
	body []byte
	etag string
}

// do sends one request and returns its response if the status is 200. A write
// is known not to have taken effect only if the request never got a connection
// or the store's response says that it refused the request.
func (c *Client) do(ctx context.Context, method, path string, h http.Header, body []byte) (resp response, err error) {
	var connected atomic.Bool
	// ambiguous wraps an error that doesn't show whether the store processed
	// the request: ErrIndeterminate for a write that got a connection.
	ambiguous := func(err error) error {
		if method == http.MethodPut && connected.Load() {
			return fmt.Errorf("%w: %w", ErrIndeterminate, err)
		}
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return resp, fmt.Errorf("%w: %w", ErrRejected, err)
	}
	if h != nil {
		r.Header = h
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	httpResp, err := c.http.Do(r)
	if err != nil {
		return resp, ambiguous(err)
	}
	defer httpResp.Body.Close()
	if httpResp.StatusCode != http.StatusOK {
		return resp, statusError(httpResp, ambiguous)
	}
	if resp.body, err = io.ReadAll(io.LimitReader(httpResp.Body, maxResponse+1)); err != nil {
		return resp, ambiguous(err)
	}
	if len(resp.body) > maxResponse {
		return resp, ambiguous(fmt.Errorf("response exceeds the limit of %d bytes", maxResponse))
	}
	resp.etag = httpResp.Header.Get("ETag")
	return resp, nil
}

// statusError returns the error for a response whose status isn't 200. It wraps
// errors that don't show whether the store processed the request in ambiguous.
func statusError(httpResp *http.Response, ambiguous func(error) error) error {
	// A read error is ignored: the status alone is enough.
	b, _ := io.ReadAll(io.LimitReader(httpResp.Body, maxErrorResponse))
	var v struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}
	if json.Unmarshal(b, &v) != nil {
		v.Code, v.Message = "", ""
	}
	err := fmt.Errorf("status %d %s %s", httpResp.StatusCode, v.Code, v.Message)
	switch s := httpResp.StatusCode; {
	case s == http.StatusNotFound && v.Code == "not-found":
		return ErrNotFound
	case s == http.StatusPreconditionFailed:
		return ErrConflict
	case s == http.StatusTooManyRequests:
		return ErrRateLimited
	case s == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case s == http.StatusServiceUnavailable && v.Code == "unavailable":
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	case s == http.StatusRequestTimeout:
		return ambiguous(err) // gateways send it even after forwarding a part
	case 400 <= s && s < 500:
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	return ambiguous(err)
}

func annotate(fn string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("store.%s: %w", fn, err)
}

func formatETag(v uint64) string { return `"` + strconv.FormatUint(v, 10) + `"` }

func parseETag(s string) (uint64, error) {
	v, err := strconv.ParseUint(strings.Trim(s, `"`), 10, 64)
	if err != nil || v == 0 {
		return 0, fmt.Errorf("response has no valid ETag: %q", s)
	}
	return v, nil
}

package store

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
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
)

const (
	// The store ends a page or a batch of changes at 4 MiB of values, plus at
	// most one value, which is below 7 MiB in base64.
	maxAnswer = 8 << 20 // bytes
	maxError  = 4 << 10 // bytes of an error answer that are read

	// The longest wait of a Watch. Without a change a watch costs two calls
	// a minute of the store's rate limit.
	maxWait = 30 * clock.Second

	defaultConns = 16
	idleTimeout  = 90 * time.Second
)

// Config configures a Client.
type Config struct {
	URL   string      // base of the object API
	Token string      // sent as a bearer token if not empty
	Conns int         // most connections at a time; 16 if 0
	TLS   *tls.Config // for https URLs; nil: the system's CAs
}

// Client is the HTTP client of the object API. Calls are bounded by their
// contexts only and are never repeated by the client.
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
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{}).DialContext,
				MaxConnsPerHost:     conns,
				MaxIdleConnsPerHost: conns,
				IdleConnTimeout:     idleTimeout,
				TLSClientConfig:     cfg.TLS,
				DisableCompression:  true, // a small answer must not expand beyond maxAnswer
			},
			// A redirected write could be processed twice.
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
	a, err := c.do(ctx, http.MethodGet, "/objects/"+name, nil, nil)
	if err != nil {
		return o, err
	}
	v, err := parseTag(a.tag)
	if err != nil {
		return o, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return NewObject(name, v, a.body), nil
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
		h.Set("If-Match", formatTag(ifVersion))
	}
	a, err := c.do(ctx, http.MethodPut, "/objects/"+name, h, value)
	if err != nil {
		return 0, err
	}
	if version, err = parseTag(a.tag); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnsure, err)
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
	if err = c.read(ctx, "/objects?"+q.Encode(), &v); err != nil {
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
		"wait":   {strconv.FormatInt(int64(waitFor(ctx)), 10)},
	}
	var v struct {
		Changes  []Object `json:"changes"`
		Revision uint64   `json:"revision"`
	}
	if err = c.read(ctx, "/changes?"+q.Encode(), &v); err != nil {
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
	if err = c.read(ctx, "/hosts", &v); err != nil {
		return nil, err
	}
	return v.Members, nil
}

// waitFor leaves a fifth of the call's time for the answer, so that a watch
// without changes ends with an answer and keeps its connection.
func waitFor(ctx context.Context) clock.Span {
	d, ok := ctx.Deadline()
	if !ok {
		return maxWait
	}
	return min(max(clock.Of(time.Until(d))*4/5, 0), maxWait)
}

func (c *Client) read(ctx context.Context, path string, v any) error {
	a, err := c.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(a.body, v); err != nil {
		return fmt.Errorf("%w: answer: %w", ErrUnavailable, err)
	}
	return nil
}

type reply struct {
	body []byte
	tag  string
}

// do sends one request and returns its answer if the status is 200. A write
// is certain not to have taken effect if it never got a connection, or if the
// store answered that it refused it.
func (c *Client) do(ctx context.Context, method, path string, h http.Header, body []byte) (a reply, err error) {
	var connected atomic.Bool
	failed := func(err error) error {
		if method == http.MethodPut && connected.Load() {
			return fmt.Errorf("%w: %w", ErrUnsure, err)
		}
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return a, fmt.Errorf("%w: %w", ErrRejected, err)
	}
	if h != nil {
		r.Header = h
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	w, err := c.http.Do(r)
	if err != nil {
		return a, failed(err)
	}
	defer w.Body.Close()
	if w.StatusCode != http.StatusOK {
		return a, refusal(w, failed)
	}
	if a.body, err = io.ReadAll(io.LimitReader(w.Body, maxAnswer+1)); err != nil {
		return a, failed(err)
	}
	if len(a.body) > maxAnswer {
		return a, failed(fmt.Errorf("answer above %d bytes", maxAnswer))
	}
	a.tag = w.Header.Get("ETag")
	return a, nil
}

// refusal returns the error for an answer that is not a success.
func refusal(w *http.Response, failed func(error) error) error {
	b, _ := io.ReadAll(io.LimitReader(w.Body, maxError)) // the status alone is enough
	var v struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}
	if json.Unmarshal(b, &v) != nil {
		v.Code, v.Message = "", ""
	}
	err := fmt.Errorf("status %d %s %s", w.StatusCode, v.Code, v.Message)
	switch s := w.StatusCode; {
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
		return failed(err) // sent by gateways, also after they forwarded a part
	case 400 <= s && s < 500:
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	return failed(err)
}

func annotate(fn string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("store.%s: %w", fn, err)
}

func formatTag(v uint64) string { return `"` + strconv.FormatUint(v, 10) + `"` }

func parseTag(s string) (uint64, error) {
	v, err := strconv.ParseUint(strings.Trim(s, `"`), 10, 64)
	if err != nil || v == 0 {
		return 0, errors.New("answer without a valid ETag")
	}
	return v, nil
}

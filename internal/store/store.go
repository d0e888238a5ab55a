// Package store defines the platform's object API and implements an HTTP client
// for it.
//
// Objects have a name, a version and a value of at most MaxValue bytes. Writes
// are conditional on the version. All versions come from one counter of the
// store, the revision, so a later write of any object has a higher version.
//
// # Usage
//
//	c, err := store.New(store.Config{URL: "http://127.0.0.1:7000"})
//	o, err := c.Get(ctx, "config/current")
//	v, err := c.Put(ctx, "config/current", value, o.Version())
//	if errors.Is(err, store.ErrIndeterminate) {
//		// Read the object back before the next write.
//	}
//
// To follow objects, call List, whose first page has the revision to start from,
// and then Watch in a loop. After a failure call Watch again with the same
// revision; no change is lost.
//
// # Object API
//
//	GET /objects/NAME                              200, ETag: "VERSION"
//	PUT /objects/NAME  If-Match: "VERSION"         200, ETag: "VERSION"; 412
//	PUT /objects/NAME  If-None-Match: *            200, ETag: "VERSION"; 412
//	GET /objects?prefix=P&after=NAME&limit=N       {"objects", "next", "revision"}
//	GET /changes?prefix=P&since=REVISION&wait=MS   {"changes", "revision"}
//	GET /hosts                                     {"members"}
//
// Error responses have the body {"code", "message"}. A 503 with the code
// "unavailable" comes from the store and means that it did not process the
// request. Any other response with a 5xx status may come from a gateway that had
// already forwarded the request, so the result of a write is then unknown.
package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Limits of the object API.
const (
	MaxValue = 1 << 20 // bytes
	MaxName  = 256     // bytes
	MaxPage  = 1000    // objects in a page
)

// Errors of Store, to be tested with errors.Is. Any error of Put other than
// ErrIndeterminate means that the write did not take effect.
var (
	ErrNotFound      = errors.New("object not found")
	ErrConflict      = errors.New("object has another version")
	ErrIndeterminate = errors.New("write may have taken effect")
	ErrUnavailable   = errors.New("store unavailable")
	ErrRateLimited   = fmt.Errorf("%w: rate limit", ErrUnavailable)
	ErrTooLarge      = errors.New("value too large")
	ErrRejected      = errors.New("request rejected") // a retry fails, too
)

// Store is the platform's object API.
type Store interface {
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, name string) (Object, error)

	// Put writes an object if its version is ifVersion; 0 means that it must
	// not exist.
	Put(ctx context.Context, name string, value []byte, ifVersion uint64) (version uint64, err error)

	// List returns up to limit objects whose names start with prefix and
	// sort after the given name. A page can be shorter than limit although
	// more objects follow: only an empty Page.Next marks the last page.
	List(ctx context.Context, prefix, after string, limit int) (Page, error)

	// Watch waits for changes newer than since and returns them oldest first
	// with the revision for the next call. It returns without changes when
	// its wait ends. If since is 0 or has been compacted, it returns the
	// current objects instead of their changes.
	Watch(ctx context.Context, prefix string, since uint64) (changes []Object, revision uint64, err error)

	// Hosts returns the platform's host list, which has the live and leaving
	// entry hosts and backend servers. It may be out of date.
	Hosts(ctx context.Context) ([]Member, error)
}

// Object is one version of an object.
type Object struct {
	name    string
	version uint64
	value   []byte
}

// NewObject returns an object. It keeps value, which must not change later.
func NewObject(name string, version uint64, value []byte) Object {
	return Object{name: name, version: version, value: value}
}

// Name returns the object's name.
func (o Object) Name() string { return o.name }

// Version returns the version to pass to a conditional Put.
func (o Object) Version() uint64 { return o.version }

// Value returns the object's value, which must not be modified.
func (o Object) Value() []byte { return o.value }

type objectJSON struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// MarshalJSON implements json.Marshaler.
func (o Object) MarshalJSON() ([]byte, error) {
	return json.Marshal(objectJSON{o.name, o.version, o.value})
}

// UnmarshalJSON implements json.Unmarshaler.
func (o *Object) UnmarshalJSON(b []byte) error {
	var v objectJSON
	if err := json.Unmarshal(b, &v); err != nil {
		return fmt.Errorf("store.Object: %w", err)
	}
	*o = NewObject(v.Name, v.Version, v.Value)
	return nil
}

// Page is a part of a list of objects.
type Page struct {
	objects  []Object
	next     string
	revision uint64
}

// Objects returns the objects of the page in the order of their names.
func (p Page) Objects() []Object { return p.objects }

// Next returns the name after which the next page starts; it is empty on the
// last page.
func (p Page) Next() string { return p.next }

// Revision returns the store's revision at which the page was read.
func (p Page) Revision() uint64 { return p.revision }

// CheckName returns ErrRejected for names that the object API does not allow. A
// name consists of segments that are separated by single slashes. Segments
// consist of letters, digits and "._-" and are not "." or "..", which HTTP
// libraries would resolve.
func CheckName(name string) error {
	if len(name) > MaxName {
		return fmt.Errorf("store.CheckName: %w: object name of %d bytes exceeds the limit of %d bytes", ErrRejected, len(name), MaxName)
	}
	for seg := range strings.SplitSeq(name, "/") {
		if seg == "" || seg == "." || seg == ".." || strings.ContainsFunc(seg, isInvalidRune) {
			return fmt.Errorf("store.CheckName: %w: invalid object name %q", ErrRejected, name)
		}
	}
	return nil
}

func isInvalidRune(r rune) bool {
	switch {
	case 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z', '0' <= r && r <= '9':
		return false
	}
	return !strings.ContainsRune("._-", r)
}

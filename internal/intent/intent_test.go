package intent

import (
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/pkg/keys"
)

func testConfig() *Config {
	return New(Document{Version: 3, Routes: []Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "x", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "B.example", Prefix: "/x/"},
	}})
}

func TestMatch(t *testing.T) {
	tests := []struct {
		host, path string
		want       string
	}{
		{"a.example", "/x/y/z", "deep"},
		{"a.example", "/x/y", "x"},
		{"a.example:8080", "/x/", "x"},
		{"A.Example", "/q", "all"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/y/", ""},
		{"c.example", "/x/", ""},
	}
	for _, tt := range tests {
		t.Run(tt.host+tt.path, func(t *testing.T) {
			is := is.New(t)
			got := ""
			if rt := testConfig().Match(tt.host, tt.path); rt != nil {
				got = rt.Name
			}
			is.Equal(got, tt.want)
		})
	}
}

// The weights must also hold for short sequences, from any starting point, because
// a host handles few requests of a route.
func TestPickKeepsWeights(t *testing.T) {
	is := is.New(t)
	rt := Route{Parts: []WeightedService{{"a", 90}, {"b", 10}}}
	for _, start := range []uint64{0, 12345, 1 << 60} {
		n := make(map[keys.Service]int)
		for i := range uint64(200) {
			n[rt.Pick(start+i)]++
		}
		is.True(n["b"] >= 18 && n["b"] <= 22)
	}
	zero := Route{Parts: []WeightedService{{"a", 0}, {"b", 0}}}
	is.Equal(zero.Pick(5), keys.Service("a"))
	off := Route{Parts: []WeightedService{{"a", 0}, {"b", 5}}}
	for i := range uint64(50) {
		is.Equal(off.Pick(i), keys.Service("b"))
	}
}

// Guards against a route without a service that ends the process with its first
// request.
func TestPickWithoutService(t *testing.T) {
	is := is.New(t)
	for _, parts := range [][]WeightedService{nil, {}} {
		is.Equal((&Route{Parts: parts}).Pick(7), keys.Service(""))
	}
}

package keys

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// Guards against gaps or overlaps between the parts of a divided range: keys
// would have no owner or two.
func TestDivide(t *testing.T) {
	tests := []struct {
		name string
		r    Range
		n    int
		want int
	}{
		{"full in three", FullRange(), 3, 3},
		{"full in 64", FullRange(), 64, 64},
		{"single hash in two", NewRange(7, 7), 2, 1},
		{"three hashes in five", NewRange(1, 3), 5, 3},
		{"zero parts", FullRange(), 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			parts := tt.r.Divide(tt.n)
			is.Equal(len(parts), tt.want)
			is.Equal(parts[0].Lo(), tt.r.Lo())
			is.Equal(parts[len(parts)-1].Hi(), tt.r.Hi())
			for i := 1; i < len(parts); i++ {
				is.Equal(parts[i].Lo(), parts[i-1].Hi()+1)
			}
		})
	}
}

// Guards against hashes that lose their low bits in JSON, because some readers
// round numbers above 2^53, and against fences that change in a round trip.
func TestTextRoundTrip(t *testing.T) {
	is := is.New(t)
	in := struct {
		R Range
		F Fence
	}{NewRange(1<<63+1, MaxHash), NewFence(1<<12|3, 9)}
	b, err := json.Marshal(in)
	is.NoErr(err)
	out := in
	out.R, out.F = Range{}, 0
	is.NoErr(json.Unmarshal(b, &out))
	is.Equal(in, out)
	_, err = ParseFence("1.2x")
	is.True(err != nil) // trailing characters are rejected
}

package epoch

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a revision of a restored store that counts as older because its
// number is lower.
func TestBefore(t *testing.T) {
	for _, tt := range []struct {
		name string
		a, b Revision
		want bool
	}{
		{"same epoch", At(1, 5), At(1, 6), true},
		{"equal", At(1, 5), At(1, 5), false},
		{"later epoch, lower number", At(1, 900), At(2, 3), true},
		{"earlier epoch, higher number", At(2, 3), At(1, 900), false},
		{"zero", Revision{}, At(0, 1), true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(tt.a.Before(tt.b), tt.want)
		})
	}
}

package front

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that a stopping host accepts so late that it has to
// be aborted: one arrived 5 s after SIGTERM and was aborted 0.5 s later.
func TestRefuseAfter(t *testing.T) {
	const grace = 6 * time.Second
	tests := []struct {
		name    string
		longest time.Duration
		want    time.Duration
	}{
		{"timeouts of up to 1.5 s", 1500 * time.Millisecond, 4 * time.Second},
		{"long timeouts", 5 * time.Second, 3 * time.Second},
		{"no configuration", 0, 5500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(refuseAfter(grace, tt.longest), tt.want)
		})
	}
}

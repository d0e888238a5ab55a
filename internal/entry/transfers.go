package entry

import (
	"net/http"
	"time"

	"github.com/laburnummux/laburnummux/internal/budget"
	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/proxy"
)

// transfers are the steps of a call in which it waits for its caller. Hedged attempts share
// those of their call.
type transfers struct {
	upload   *proxy.Transfer // of a body that isn't buffered
	download *proxy.Transfer // of the response
}

// newTransfers returns the transfers of a request whose reading is ended by endRead.
func newTransfers(w http.ResponseWriter, endRead func()) transfers {
	conn := http.NewResponseController(w)
	endWrite := func() { conn.SetWriteDeadline(time.Unix(1, 0)) }
	return transfers{upload: proxy.NewTransfer(endRead), download: proxy.NewTransfer(endWrite)}
}

// interrupted reports whether the call was interrupted.
func (ts transfers) interrupted() bool { return ts.upload.Interrupted() || ts.download.Interrupted() }

// stalled reports whether the caller has stopped sending its body or reading its response.
func (ts transfers) stalled() bool {
	return !ts.interrupted() && (ts.upload.Stalled(budget.StallTime) || ts.download.Stalled(budget.StallTime))
}

// interrupt ends a stalled call and returns the reason for the metrics, or "" if the call
// has gone on.
func (ts transfers) interrupt() string {
	switch {
	case ts.upload.Interrupt():
		return caller.ReasonStalled
	case ts.download.Interrupt():
		return caller.ReasonResponse
	}
	return ""
}

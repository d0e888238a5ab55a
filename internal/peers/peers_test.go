package peers

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/laburnummux/laburnummux/internal/peerpb"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/grpc"
)

func serve(t *testing.T, address string, p *Peers) (*grpc.Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer(grpc.MaxRecvMsgSize(MaxBatchBytes))
	peerpb.RegisterPeerServer(s, p)
	go s.Serve(ln)
	t.Cleanup(s.Stop)
	return s, ln.Addr().String()
}

// Guards against messages that are still lost after a host has restarted at the
// same address: leases could not be renewed any more.
func TestDeliveryResumesAfterRestart(t *testing.T) {
	is := is.New(t)
	incarnations := make(chan uint64, 1000) // incarnations of received messages
	receive := func(_ keys.Host, incarnation uint64, m *peerpb.Message) { incarnations <- incarnation }
	first, addr := serve(t, "127.0.0.1:0", New("b", 2, receive, zap.NewNop()))

	a := New("a", 77, nil, zap.NewNop())
	a.SetAddresses(map[keys.Host]string{"a": "127.0.0.1:1", "b": addr})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go a.Run(ctx)

	m := &peerpb.Message{Body: &peerpb.Message_TableAsk{TableAsk: &peerpb.TableAsk{}}}
	sendUntilReceived := func() {
		for {
			a.Send("b", m)
			select {
			case incarnation := <-incarnations:
				is.Equal(incarnation, uint64(77))
				return
			case <-time.After(20 * time.Millisecond):
			}
			is.NoErr(t.Context().Err())
		}
	}
	sendUntilReceived()
	first.Stop()
	serve(t, addr, New("b", 3, receive, zap.NewNop()))
	for len(incarnations) > 0 {
		<-incarnations
	}
	sendUntilReceived()
}

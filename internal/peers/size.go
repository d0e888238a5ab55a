package peers

import (
	"github.com/laburnummux/laburnummux/internal/peerpb"
	"google.golang.org/protobuf/proto"
)

// frameBytes is the overhead of HTTP/2 and gRPC for a message on an open
// connection: two frame headers, compressed header fields and the length prefix.
const frameBytes = 60

// wireSize estimates the bytes that a batch takes on an open connection.
func wireSize(b *peerpb.Batch) int { return proto.Size(b) + frameBytes }

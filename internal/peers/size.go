package peers

import (
	"github.com/laburnummux/laburnummux/internal/peerpb"
	"google.golang.org/protobuf/proto"
)

// frameBytes is what HTTP/2 and gRPC add to a message on an open connection:
// two frame headers, compressed header fields and the length prefix.
const frameBytes = 60

func protoSize(b *peerpb.Batch) int { return proto.Size(b) + frameBytes }

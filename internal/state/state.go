// Package state defines the JSON responses of hosts about their state, for the
// operators' commands. They are the same on the users' platform and without it.
package state

import (
	"time"

	"github.com/laburnummux/laburnummux/internal/route"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Host is the summary of a host.
type Host struct {
	Host        keys.Host       `json:"host"`
	DataCentre  keys.DataCentre `json:"dataCentre"`
	Incarnation uint64          `json:"boot"`
	UptimeMs    int64           `json:"uptimeMs"`
	Ready       string          `json:"ready"` // "yes", or the reason why it isn't ready
	Revision    uint64          `json:"revision"`
	InForce     time.Time       `json:"inForceSince"`
	InFlight    int64           `json:"inFlight"`
	Cells       []Cell          `json:"cells"`
}

// Cell is the state of a cell according to a host's routing table. A cell is a
// part of a service's hash space that has one assigner. On the users' platform a
// keyed service is one cell, and its servers have no dispatcher: each host sends
// requests to them itself.
type Cell struct {
	Cell     string    `json:"cell"`
	Assigner keys.Host `json:"assigner"`
	Term     uint32    `json:"term"`
	Version  uint64    `json:"version"`
	Stored   bool      `json:"stored"`
	Ranges   int       `json:"ranges"`
	Owned    float64   `json:"owned"` // share of the cell's keys that have an owner
	Servers  []Server  `json:"servers"`
	// Imbalance is the largest share of a server divided by the mean share.
	Imbalance float64 `json:"imbalance"`
	route.CellStats
}

// Server is a backend server in a Cell.
type Server struct {
	Server     keys.Server `json:"server"`
	Dispatcher keys.Host   `json:"dispatcher"`
	Ranges     int         `json:"ranges"`
	Share      float64     `json:"share"` // of the cell's keys
	Leaving    bool        `json:"leaving,omitempty"`
}

// Owner is the owner of a key.
type Owner struct {
	Service    keys.Service    `json:"service"`
	Key        string          `json:"key"`
	Hash       keys.Hash       `json:"hash"`
	Cell       string          `json:"cell"`
	DataCentre keys.DataCentre `json:"dataCentre"`
	Server     keys.Server     `json:"server"`
	Dispatcher keys.Host       `json:"dispatcher"`
	Fence      keys.Fence      `json:"fence"`
	Stored     bool            `json:"stored"`
	Reason     string          `json:"reason,omitempty"` // why there is no owner
}

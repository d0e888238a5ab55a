package config

import (
	"encoding/json"
	"fmt"

	"github.com/laburnummux/laburnummux/pkg/keys"
)

// storedFileName is the file name in the problems of a stored configuration.
const storedFileName = "stored"

// The wire types are the JSON form of a Config. They have the fields of the
// files, with every default written out.
type (
	wireConfig struct {
		Site     keys.DataCentre        `json:"site,omitempty"`
		Services map[string]wireService `json:"services"`
	}
	wireService struct {
		Keyed        bool                      `json:"keyed"`
		Path         string                    `json:"path"`
		Operations   map[string]wireOperation  `json:"operations"`
		DataCentres  map[string]wireDataCentre `json:"dataCentres"`
		Server       wireServer                `json:"server"`
		Policy       string                    `json:"policy"`
		Classes      map[string]wireClass      `json:"classes"`
		QueuePerSlot int                       `json:"queuePerSlot"`
		RetryBudget  float64                   `json:"retryBudget"`
		MaxBodyBytes int                       `json:"maxBodyBytes"`
	}
	wireOperation struct {
		Method     string `json:"method"`
		Path       string `json:"path"`
		Idempotent bool   `json:"idempotent"`
		Class      string `json:"class"`
		TimeoutMs  int64  `json:"timeoutMs"`
	}
	wireDataCentre struct {
		Weight int `json:"weight"`
		Cells  int `json:"cells"`
	}
	wireServer struct {
		Slots            int   `json:"slots"`
		Connections      int   `json:"connections"`
		ChecksFences     bool  `json:"checksFences"`
		ConnectTimeoutMs int64 `json:"connectTimeoutMs"`
		RampMs           int64 `json:"rampMs"`
	}
	wireClass struct {
		Share float64 `json:"share"`
	}
)

// MarshalJSON returns the canonical JSON of c: fields in a fixed order, names
// sorted, defaults written out.
func (c Config) MarshalJSON() ([]byte, error) {
	w := wireConfig{Site: c.site, Services: make(map[string]wireService, len(c.services))}
	for _, s := range c.services {
		w.Services[string(s.name)] = s.wire()
	}
	return json.Marshal(w)
}

func (s Service) wire() wireService {
	w := wireService{
		Keyed:       s.keyed,
		Path:        s.path,
		Operations:  make(map[string]wireOperation, len(s.operations)),
		DataCentres: make(map[string]wireDataCentre, len(s.dataCentres)),
		Server: wireServer{
			Slots:            s.server.slots,
			Connections:      s.server.connections,
			ChecksFences:     s.server.checksFences,
			ConnectTimeoutMs: int64(s.server.connectTimeout),
			RampMs:           int64(s.server.warmup),
		},
		Policy:       s.policy.String(),
		Classes:      make(map[string]wireClass, len(s.classShares)),
		QueuePerSlot: s.queuePerSlot,
		RetryBudget:  s.retryBudget,
		MaxBodyBytes: s.maxBodyBytes,
	}
	for _, o := range s.operations {
		w.Operations[o.name] = wireOperation{o.method, o.path, o.idempotent, o.class.String(), int64(o.timeout)}
	}
	for _, d := range s.dataCentres {
		w.DataCentres[string(d.name)] = wireDataCentre{d.weight, d.cells}
	}
	for _, c := range Classes() {
		w.Classes[c.String()] = wireClass{s.classShares[c]}
	}
	return w
}

// Encode returns the canonical JSON of c. It fails if the result is larger than
// the store accepts.
func Encode(c Config) ([]byte, error) { return encode("config.Encode", c) }

func encode(caller string, v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", caller, err)
	}
	if len(b) > MaxDocumentBytes {
		return nil, fmt.Errorf("%s: %w", caller, TooLargeError{Bytes: len(b)})
	}
	return b, nil
}

// Decode decodes the result of Encode. The error wraps Problems if the content
// is not valid.
func Decode(b []byte) (Config, error) {
	d, probs := Parse(storedFileName, b)
	if err := probs.Err(); err != nil {
		return Config{}, fmt.Errorf("config.Decode: %w", err)
	}
	c, probs := d.Config()
	if err := probs.Err(); err != nil {
		return Config{}, fmt.Errorf("config.Decode: %w", err)
	}
	return c, nil
}

// TooLargeError is the error for an encoded value that exceeds
// MaxDocumentBytes.
type TooLargeError struct{ Bytes int }

// Error implements error.
func (e TooLargeError) Error() string {
	return fmt.Sprintf("encoded value has %d bytes; at most %d can be stored", e.Bytes, MaxDocumentBytes)
}

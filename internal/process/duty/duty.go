// Package duty assigns the singleton duties of a fleet: calls to the platform that
// one host at a time may send. A host claims them with a lease in the shared log;
// each claim has a fencing token that is never issued twice.
package duty

import (
	"context"

	"github.com/rotisserie/eris"
)

// Grant is the right to act on the duties.
type Grant struct {
	// Holder is the name of the host that holds the duties.
	Holder string
	// Token is the fencing token. A later holder has a higher one.
	Token uint64
}

// UsageReport is the usage of one window by team.
type UsageReport struct {
	// Window is the number of the window since the start of 1970.
	Window int64
	// Counts holds the requests that began to run in the window, by team.
	Counts map[string]int64
}

// EndpointOrder orders the number of endpoints of a service in a failure domain.
type EndpointOrder struct {
	Service, Domain string
	Count           int
}

// Errors of a Platform.
var (
	// ErrFenced means that the platform has seen a higher fencing token.
	ErrFenced = eris.New("another host has a higher fencing token")
	// ErrRefused means that the call had no effect and may be sent again.
	ErrRefused = eris.New("the platform refused the call")
	// ErrUnanswered means that the call may have taken effect or may still do so.
	ErrUnanswered = eris.New("the platform did not answer")
)

// Platform sends the calls of the duties. The calls fail with ErrFenced, ErrRefused
// or ErrUnanswered.
type Platform interface {
	ReportUsage(ctx context.Context, grant Grant, report UsageReport) error
	OrderEndpoints(ctx context.Context, grant Grant, order EndpointOrder) error
}

// Holder gives access to the duties. It is safe for concurrent use.
type Holder interface {
	// Grant returns the right to act now, or false if this host does not hold the
	// duties or its lease may have lapsed.
	Grant() (Grant, bool)
	// Save stores a value for this and later holders. It fails with
	// keyed.ErrConflict if another host has claimed the duties, and with
	// keyed.ErrUnanswered if the value may or may not be stored.
	Save(ctx context.Context, key string, value []byte) error
	// Load returns the newest value as of the claim or the last Save.
	Load(key string) (value []byte, found bool)
}

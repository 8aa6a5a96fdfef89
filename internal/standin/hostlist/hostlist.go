// Package hostlist simulates the platform's host list, which shows changes with
// a delay.
package hostlist

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"mustarddoor/internal/connection/platform"
	"mustarddoor/internal/standin/fault"
	"mustarddoor/internal/standin/server"
)

// ErrInvalidHost is returned for a malformed host flag.
var ErrInvalidHost = eris.New("host flag is not of the form NAME,ADDRESS,MESH_ADDRESS,DOMAIN")

// hostFieldCount is the number of fields in a host flag.
const hostFieldCount = 4

// Faults are the fault switches of the host list.
type Faults struct {
	fault.Common
}

// Options are the command-line flags of the host list.
type Options struct {
	server.Options
	Faults
	Hosts     []string `long:"host" description:"NAME,ADDRESS,MESH_ADDRESS,DOMAIN of a live host; may be repeated"`
	LagMillis int      `long:"lag-ms" default:"0" description:"how late changes of the list show, in milliseconds"`
}

// pendingList is a list and the time from which readers see it.
type pendingList struct {
	list      platform.HostList
	visibleAt time.Time
}

// Service is a simulated host list.
type Service struct {
	lag    time.Duration
	faults *fault.Set[Faults]

	mu      sync.Mutex
	current platform.HostList
	pending []pendingList
}

// New returns a host list with the hosts in the options. It fails with
// ErrInvalidHost.
func New(options Options) (*Service, error) {
	s := &Service{lag: time.Duration(options.LagMillis) * time.Millisecond}
	s.current.Hosts = []platform.ListedHost{}
	for _, entry := range options.Hosts {
		fields := strings.Split(entry, ",")
		if len(fields) != hostFieldCount {
			return nil, eris.Wrapf(ErrInvalidHost, "%q", entry)
		}
		s.current.Hosts = append(s.current.Hosts, platform.ListedHost{
			Name:        fields[0],
			Address:     fields[1],
			MeshAddress: fields[2],
			Domain:      fields[3],
			State:       platform.HostLive,
		})
	}
	common := func(f *Faults) *fault.Common { return &f.Common }
	s.faults = fault.NewSet(options.Faults, common, nil)
	return s, nil
}

// Handler serves the host list protocol of package platform and the fault
// switches. A PUT to the path of the list replaces the list.
func (s *Service) Handler() http.Handler {
	e := server.NewEcho()
	s.faults.Register(e)
	e.GET(platform.PathHosts, s.get, s.faults.Middleware)
	e.PUT(platform.PathHosts, s.put)
	return e
}

// get responds with the newest visible list.
func (s *Service) get(c echo.Context) error {
	s.mu.Lock()
	now := time.Now()
	for len(s.pending) > 0 && !s.pending[0].visibleAt.After(now) {
		s.current = s.pending[0].list
		s.pending = s.pending[1:]
	}
	list := s.current
	s.mu.Unlock()
	return c.JSON(http.StatusOK, list)
}

// put replaces the list. Readers see the new list after the lag.
func (s *Service) put(c echo.Context) error {
	var list platform.HostList
	if err := json.NewDecoder(c.Request().Body).Decode(&list); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, pendingList{list: list, visibleAt: time.Now().Add(s.lag)})
	return c.NoContent(http.StatusNoContent)
}

package daemon

import (
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/member"
	"mustarddoor/internal/version/config"
)

// Paths of the operator interface.
const (
	// PathRecords serves POST of a signed record and returns config.Outcome.
	PathRecords = "/v1/operator/records"
	// PathStatus serves GET and returns Status.
	PathStatus = "/v1/operator/status"
)

// Status is the response of PathStatus.
type Status struct {
	Host identity.Host `json:"host"`
	// Ready and Reason say whether the host accepts requests, and why not.
	Ready  bool          `json:"ready"`
	Reason string        `json:"reason,omitempty"`
	Config config.Status `json:"config"`
	// Homes lists the homes of the endpoints of the bundle in force.
	Homes []HomeStatus `json:"homes"`
	// Members lists the hosts that this host knows.
	Members []MemberStatus `json:"members"`
}

// MemberStatus is the membership state of one host as seen by this host.
type MemberStatus struct {
	identity.Host
	State   string `json:"state"`
	Leaving bool   `json:"leaving"`
}

func (h *host) addOperatorRoutes(router *echo.Echo) {
	router.POST(PathRecords, h.serveRecord)
	router.GET(PathStatus, h.serveStatus)
}

// serveRecord submits an operator's signed record to the configuration stream.
func (h *host) serveRecord(c echo.Context) error {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, config.MaxRecordBytes)
	raw, err := io.ReadAll(body)
	if err != nil {
		return echo.NewHTTPError(http.StatusRequestEntityTooLarge, err.Error())
	}
	return c.JSON(http.StatusOK, h.operator.Submit(c.Request().Context(), raw))
}

func (h *host) serveStatus(c echo.Context) error {
	reason := h.notReadyReason()
	return c.JSON(http.StatusOK, Status{
		Host:    h.self,
		Ready:   reason == "",
		Reason:  reason,
		Config:  h.operator.Status(),
		Homes:   h.homeStatuses(),
		Members: memberStatuses(h.members.View()),
	})
}

func memberStatuses(view *member.View) []MemberStatus {
	statuses := []MemberStatus{}
	for _, m := range view.Members() {
		statuses = append(statuses, MemberStatus{Host: m.Host, State: m.State.String(), Leaving: m.Leaving})
	}
	return statuses
}

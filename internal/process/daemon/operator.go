package daemon

import (
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"mustarddoor/internal/process/identity"
	"mustarddoor/internal/process/member"
	"mustarddoor/internal/version/config"
)

// Paths for operators.
const (
	// PathRecords takes a POST of a signed record and answers config.Outcome.
	PathRecords = "/v1/operator/records"
	// PathStatus takes a GET and answers Status.
	PathStatus = "/v1/operator/status"
)

// Status is what a host tells operators.
type Status struct {
	Host identity.Host `json:"host"`
	// Ready and Reason tell whether the host takes requests and why not.
	Ready  bool          `json:"ready"`
	Reason string        `json:"reason,omitempty"`
	Config config.Status `json:"config"`
	// Homes are the homes of the endpoints in force.
	Homes []HomeStatus `json:"homes"`
	// Members are the hosts that this one knows.
	Members []MemberStatus `json:"members"`
}

// MemberStatus is what a host believes of another one.
type MemberStatus struct {
	identity.Host
	State   string `json:"state"`
	Leaving bool   `json:"leaving"`
}

func (h *host) addOperatorRoutes(router *echo.Echo) {
	router.POST(PathRecords, h.serveRecord)
	router.GET(PathStatus, h.serveStatus)
}

// serveRecord hands an operator's record to the configuration stream.
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

package upstream

import (
	"bufio"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// maxStatus is the highest status that a response may have.
	maxStatus = 599
	// maxInformationalResponses is the maximum number of informational responses before a
	// response.
	maxInformationalResponses = 16
)

var (
	errInvalidStatus        = eris.New("the response has no valid status")
	errUnaskedSwitch        = eris.New("the endpoint switches protocols unasked")
	errTooManyInformational = eris.New("the endpoint sends informational responses without end")
)

// readFinalResponse reads the header of the next response and skips informational ones.
func readFinalResponse(reader *bufio.Reader, method string) (*http.Response, error) {
	for range maxInformationalResponses + 1 {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := checkStatusLine(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errTooManyInformational
}

// checkStatusLine checks the protocol and the status. The decoder takes any three characters
// that form a number, as "000" or "+20", for a status.
func checkStatusLine(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return eris.Errorf("unsupported response protocol %s", response.Proto)
	}
	digits, _, _ := strings.Cut(response.Status, " ")
	for _, digit := range digits {
		if digit < '0' || digit > '9' {
			return eris.Wrapf(errInvalidStatus, "status %q", digits)
		}
	}
	switch status := response.StatusCode; {
	case status < http.StatusContinue, status > maxStatus:
		return eris.Wrapf(errInvalidStatus, "status %q", digits)
	case status == http.StatusSwitchingProtocols:
		return errUnaskedSwitch
	}
	return nil
}

package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"
)

// Hosts is the platform's host list. It is updated with a delay.
type Hosts interface {
	// List returns the list. It fails with ErrUnavailable or ErrRefused.
	List(ctx context.Context) (HostList, error)
}

// HostsClient is a client of the host list. It is safe for concurrent use.
type HostsClient struct {
	client client
}

var _ Hosts = (*HostsClient)(nil)

// NewHostsClient returns a client of the host list at an IP:port.
func NewHostsClient(address string) *HostsClient {
	return &HostsClient{client: newClient(address)}
}

// List implements Hosts.
func (c *HostsClient) List(ctx context.Context) (HostList, error) {
	reply, err := c.client.get(ctx, PathHosts, url.Values{}, callTimeout)
	if err != nil {
		return HostList{}, err
	}
	if reply.status != http.StatusOK {
		return HostList{}, eris.Wrapf(ErrRefused, "host list: status %d", reply.status)
	}
	var list HostList
	if err := json.Unmarshal(reply.body, &list); err != nil {
		return HostList{}, eris.Wrapf(ErrUnavailable, "host list: %v", err)
	}
	return list, nil
}

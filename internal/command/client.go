package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"toucangap/internal/adminapi"
	"toucangap/internal/settings"
	"toucangap/internal/tlsconf"
)

// maxResponseBytes bounds the number of bytes read of a host's response.
const maxResponseBytes = 64 << 20

// ErrRefused means that a host responded with an error.
var ErrRefused = merry.Sentinel("host refused")

// Client calls the admin interfaces of hosts.
type Client struct {
	hosts  []netip.AddrPort
	scheme string
	http   *http.Client
}

// NewClient returns a client for the hosts and TLS files given by the flags.
func NewClient(cmd *cli.Command) (*Client, error) {
	hosts, err := parseAddresses(FlagHost, cmd.StringSlice(FlagHost))
	if err != nil {
		return nil, err
	}
	files := settings.TLS{
		Authority:   cmd.String(FlagCA),
		Certificate: cmd.String(FlagCert),
		Key:         cmd.String(FlagKey),
	}
	if !files.IsComplete() {
		return nil, Usagef("--%s, --%s and --%s must be given together", FlagCA, FlagCert, FlagKey)
	}
	config, err := tlsconf.Client(files)
	if err != nil {
		return nil, err
	}
	c := &Client{hosts: hosts, scheme: "http"}
	c.http = &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
	if config != nil {
		c.scheme = "https"
	}
	return c, nil
}

// Hosts returns the admin addresses of the hosts.
func (c *Client) Hosts() []netip.AddrPort {
	return c.hosts
}

// Get sends a query to one host and decodes the response into result. It fails
// with ErrRefused if the host responds with an error.
func (c *Client) Get(ctx context.Context, host netip.AddrPort, path string, query url.Values, result any) error {
	target := c.target(host, path)
	target.RawQuery = query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return merry.Wrap(err)
	}
	return c.do(request, result)
}

// Post sends a command to one host and decodes the response into result. It
// fails with ErrRefused if the host responds with an error.
func (c *Client) Post(ctx context.Context, host netip.AddrPort, path string, command, result any) error {
	body, err := json.Marshal(command)
	if err != nil {
		return merry.Prepend(err, "encode command")
	}
	target := c.target(host, path)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), bytes.NewReader(body))
	if err != nil {
		return merry.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	return c.do(request, result)
}

// target returns the URL of a path on a host.
func (c *Client) target(host netip.AddrPort, path string) *url.URL {
	return &url.URL{Scheme: c.scheme, Host: host.String(), Path: path}
}

// do sends the request and decodes the result or the error.
func (c *Client) do(request *http.Request, result any) error {
	response, err := c.http.Do(request)
	if err != nil {
		return merry.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return merry.Prepend(err, "read response")
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return responseError(response, data)
	}
	err = json.Unmarshal(data, result)
	return merry.Prepend(err, "decode response")
}

// responseError returns ErrRefused with the message in the response of a host,
// or with the HTTP status if there is none.
func responseError(response *http.Response, data []byte) error {
	var failure adminapi.Failure
	err := json.Unmarshal(data, &failure)
	if err != nil || failure.Error == "" {
		failure.Error = response.Status
	}
	return merry.Appendf(ErrRefused, "%s", failure.Error)
}

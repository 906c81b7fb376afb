package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/platform/gateway"
)

// maxResponseBytes bounds the body of a response: a value of 1 MB in base64 with
// room for a list of small ones.
const maxResponseBytes = 4 << 20

// retryPolicy tells whether a call may be retried after it may have reached the
// platform.
type retryPolicy bool

const (
	// idempotent calls are retried after any failure to get a response.
	idempotent retryPolicy = true
	// onlyIfNeverSent calls are retried only if certainly not sent.
	onlyIfNeverSent retryPolicy = false
)

// call posts the request and decodes the response into result. It retries with
// backoff as far as maxAttempts, both budgets and the context allow.
func (c *Client) call(ctx context.Context, path string, request, result any, policy retryPolicy) error {
	body, err := json.Marshal(request)
	if err != nil {
		return merry.Prepend(err, "encode platform call")
	}
	for attempt := 1; ; attempt++ {
		if err = c.admit(); err != nil {
			return err
		}
		err = c.attempt(ctx, path, body, result)
		if err == nil {
			c.recordSuccess()
			return nil
		}
		err = classify(err, policy)
		if !c.waitToRetry(ctx, err, attempt) {
			break
		}
	}
	if errors.Is(err, ErrOutcomeUnknown) {
		c.recordUnknownOutcome()
	}
	return err
}

// waitToRetry waits for the backoff and reports whether to retry.
func (c *Client) waitToRetry(ctx context.Context, err error, attempt int) bool {
	if !errors.Is(err, ErrUnreachable) || attempt >= maxAttempts || ctx.Err() != nil {
		return false
	}
	if !c.admitRetry() {
		return false
	}
	return Sleep(ctx, c.options.Clock, c.Backoff(attempt, MaxBackoff)) == nil
}

// attempt sends the request once to the current address, with the client's
// timeout.
func (c *Client) attempt(ctx context.Context, path string, request []byte, result any) error {
	ctx, cancel := withTimeout(ctx, c.options.Clock, c.options.Timeout)
	defer cancel()
	response, index, err := c.post(ctx, c.calls, path, request)
	if err != nil {
		return err
	}
	defer closeBody(response.Body)
	body := &io.LimitedReader{R: response.Body, N: maxResponseBytes}
	err = json.NewDecoder(body).Decode(result)
	if err != nil && body.N <= 0 {
		return merry.Wrap(errTooLarge)
	}
	if err != nil {
		c.recordFailure(index)
		return merry.Prepend(err, "decode response")
	}
	return nil
}

// post sends the body to the current address. It returns a response of 200 OK and
// the address's index; any other status is an error.
func (c *Client) post(ctx context.Context, transport http.RoundTripper, path string, body []byte) (*http.Response, int, error) {
	address, index := c.address()
	url := "http://" + address.String() + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, index, merry.Prepend(err, "build platform call")
	}
	// Without GetBody the transport can't retry the POST by itself when an idle
	// connection turns out to be closed.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := transport.RoundTrip(request)
	if err != nil {
		c.recordFailure(index)
		return nil, index, err
	}
	if response.StatusCode != http.StatusOK {
		defer closeBody(response.Body)
		err = readFailure(response)
		if response.StatusCode >= http.StatusInternalServerError {
			c.recordFailure(index)
		}
		return nil, index, err
	}
	return response, index, nil
}

// closeBody drains up to 1 KB of the rest, so that the connection is reused.
func closeBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, 1<<10)
	_ = body.Close()
}

// readFailure turns a response other than 200 OK into an error.
func readFailure(response *http.Response) error {
	var failure gateway.Failure
	_ = json.NewDecoder(io.LimitReader(response.Body, 1<<16)).Decode(&failure)
	message := failure.Message
	if message == "" {
		message = failure.Error
	}
	return &statusError{status: response.StatusCode, code: failure.Code, message: message}
}

// classify turns the failure of an attempt into one of the package's errors.
func classify(err error, policy retryPolicy) error {
	var status *statusError
	if errors.As(err, &status) && status.status < http.StatusInternalServerError {
		return merry.Wrap(rejection(status), merry.WithCause(err))
	}
	if policy == idempotent && errors.Is(err, errTooLarge) {
		return merry.Wrap(ErrRejected, merry.WithCause(err))
	}
	if policy == idempotent || failedToConnect(err) {
		return merry.Wrap(ErrUnreachable, merry.WithCause(err))
	}
	return merry.Wrap(ErrOutcomeUnknown, merry.WithCause(err))
}

// rejection maps a response with a status below 500 to an error.
func rejection(status *statusError) error {
	switch {
	case status.code == gateway.CodeNotFound && status.status == http.StatusNotFound:
		return ErrNotFound
	case status.code == gateway.CodeOutOfRange:
		return errCompacted
	case status.status == http.StatusTooManyRequests:
		return ErrUnreachable
	}
	return ErrRejected
}

// failedToConnect reports whether the attempt failed to connect, so that certainly
// nothing was sent.
func failedToConnect(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

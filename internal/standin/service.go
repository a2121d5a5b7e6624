package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/samphirepath/samphirepath/internal/refplatform"
)

// maxBodyBytes is the maximum size of the body of one call.
const maxBodyBytes = 64 << 20

// reply is an HTTP answer.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// callHandler answers one call. The body of the request has already been read.
type callHandler func(r *http.Request, body []byte) reply

func newReply(status int, body []byte) reply {
	return reply{status: status, header: http.Header{}, body: body}
}

func jsonReply(status int, value any) reply {
	body, err := json.Marshal(value)
	if err != nil {
		panic(eris.Wrap(err, "standin: encode answer"))
	}
	r := newReply(status, body)
	r.header.Set("Content-Type", "application/json")
	return r
}

func errorReply(status int, err error) reply {
	return jsonReply(status, map[string]string{"error": err.Error()})
}

// notRunReply answers that the call took no effect.
func notRunReply(reason string) reply {
	r := errorReply(http.StatusServiceUnavailable, eris.New(reason))
	r.header.Set(refplatform.HeaderNotRun, refplatform.HeaderTrue)
	return r
}

// absentReply answers that the row or object does not exist.
func absentReply() reply {
	r := newReply(http.StatusNotFound, nil)
	r.header.Set(refplatform.HeaderAbsent, refplatform.HeaderTrue)
	return r
}

// service applies the faults of a target to its calls. The simulated services, workers
// and minions embed it.
type service struct {
	ctx    context.Context // ends when the stand-in stops
	faults *faultInjector
}

// wait blocks for a duration, or until the stand-in stops.
func (s service) wait(d time.Duration) { sleep(s.ctx, d) }

// readHandler returns the handler of calls that change nothing. The faults LoseEvery and
// LoseProbability do not apply to them.
func (s service) readHandler(handle callHandler) echo.HandlerFunc { return s.handler(handle, false) }

// mutationHandler returns the handler of mutating calls: those that may change something.
func (s service) mutationHandler(handle callHandler) echo.HandlerFunc { return s.handler(handle, true) }

// handler reads the body of a call, applies the faults and sends the answer.
func (s service) handler(handle callHandler, mutates bool) echo.HandlerFunc {
	return func(c echo.Context) error {
		if isOverLimit(c.Request().Context()) {
			refusal := notRunReply("connection limit reached")
			refusal.header.Set("Connection", "close")
			return send(c, refusal)
		}
		body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
		if err != nil {
			return send(c, errorReply(http.StatusBadRequest, err))
		}
		if !s.faults.delay(s.ctx) {
			return dropConnection(c)
		}
		if s.faults.shouldRefuse() {
			return send(c, notRunReply("service is down"))
		}
		answer := handle(c.Request(), body)
		if mutates && s.faults.shouldLoseAnswer() {
			return dropConnection(c)
		}
		if s.faults.get().Truncate {
			return sendTruncated(c, answer)
		}
		return send(c, answer)
	}
}

func send(c echo.Context, answer reply) error {
	header := c.Response().Header()
	for name, values := range answer.header {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	c.Response().WriteHeader(answer.status)
	_, err := c.Response().Write(answer.body)
	return err
}

// dropConnection closes the connection without an answer.
func dropConnection(c echo.Context) error {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		return eris.Wrap(err, "drop connection")
	}
	return conn.Close()
}

// sendTruncated sends the header and half of the body, then closes the connection. An
// answer without a body is truncated in its header.
func sendTruncated(c echo.Context, answer reply) error {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		return eris.Wrap(err, "truncate answer")
	}
	defer conn.Close()
	return writeTruncated(conn, answer)
}

// writeTruncated writes a header with the length of the complete body, but only the
// first half of the body.
func writeTruncated(conn net.Conn, answer reply) error {
	statusLine := fmt.Sprintf("HTTP/1.1 %d %s\r\n", answer.status, http.StatusText(answer.status))
	if _, err := io.WriteString(conn, statusLine); err != nil || len(answer.body) == 0 {
		return err
	}
	header := answer.header.Clone()
	header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	if err := header.Write(conn); err != nil {
		return err
	}
	_, err := conn.Write(append([]byte("\r\n"), answer.body[:len(answer.body)/2]...))
	return err
}

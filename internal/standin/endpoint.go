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

// maxBodyBytes is the limit of the body of one call.
const maxBodyBytes = 64 << 20

// reply is an HTTP answer.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// endpoint answers one call whose body has been read.
type endpoint func(r *http.Request, body []byte) reply

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

func notRunReply(reason string) reply {
	r := errorReply(http.StatusServiceUnavailable, eris.New(reason))
	r.header.Set(refplatform.HeaderNotRun, refplatform.HeaderTrue)
	return r
}

func absentReply() reply {
	r := newReply(http.StatusNotFound, nil)
	r.header.Set(refplatform.HeaderAbsent, refplatform.HeaderTrue)
	return r
}

// service binds endpoints to the faults of one service.
type service struct {
	ctx    context.Context // ends with the process
	faults *faultSwitch
}

// pause waits for a duration unless the process ends first.
func (s service) pause(d time.Duration) { sleep(s.ctx, d) }

// read serves calls that change nothing; their answers are not lost on purpose.
func (s service) read(e endpoint) echo.HandlerFunc { return s.handler(e, false) }

// change serves calls that change something.
func (s service) change(e endpoint) echo.HandlerFunc { return s.handler(e, true) }

func (s service) handler(e endpoint, changes bool) echo.HandlerFunc {
	return func(c echo.Context) error {
		if isSurplus(c.Request().Context()) {
			refusal := notRunReply("connection limit reached")
			refusal.header.Set("Connection", "close")
			return send(c, refusal)
		}
		body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
		if err != nil {
			return send(c, errorReply(http.StatusBadRequest, err))
		}
		if !s.faults.hold(s.ctx) {
			return cut(c)
		}
		if s.faults.refuses() {
			return send(c, notRunReply("service is down"))
		}
		answer := e(c.Request(), body)
		if changes && s.faults.loses() {
			return cut(c)
		}
		if s.faults.get().Truncate {
			return truncate(c, answer)
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

// cut closes the connection without an answer.
func cut(c echo.Context) error {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		return eris.Wrap(err, "cut connection")
	}
	return conn.Close()
}

// truncate sends the header and half of the body, then closes the connection. An
// answer without a body is cut in its header.
func truncate(c echo.Context, answer reply) error {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		return eris.Wrap(err, "truncate answer")
	}
	defer conn.Close()
	return writeTruncated(conn, answer)
}

// writeTruncated announces the whole body but writes only its first half.
func writeTruncated(conn net.Conn, answer reply) error {
	status := fmt.Sprintf("HTTP/1.1 %d %s\r\n", answer.status, http.StatusText(answer.status))
	if _, err := io.WriteString(conn, status); err != nil || len(answer.body) == 0 {
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

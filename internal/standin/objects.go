package standin

import (
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"

	"github.com/samphirepath/samphirepath/internal/refplatform"
)

// objectService simulates the object store in memory.
type objectService struct {
	service
	mu      sync.Mutex
	objects map[string][]byte
}

func newObjectService(s service) *objectService {
	return &objectService{service: s, objects: map[string][]byte{}}
}

func (o *objectService) routes() http.Handler {
	e := echo.New()
	e.GET(refplatform.PathObject, o.readHandler(o.get))
	e.PUT(refplatform.PathObject, o.mutationHandler(o.put))
	e.DELETE(refplatform.PathObject, o.mutationHandler(o.remove))
	return e
}

func objectKey(r *http.Request) string { return r.URL.Query().Get(refplatform.ParamKey) }

func (o *objectService) get(r *http.Request, _ []byte) reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	value, ok := o.objects[objectKey(r)]
	if !ok {
		return absentReply()
	}
	answer := newReply(http.StatusOK, value)
	refplatform.SetBodyHeaders(answer.header, value)
	return answer
}

func (o *objectService) put(r *http.Request, body []byte) reply {
	if err := refplatform.CheckBody(r.Header, body); err != nil {
		return errorReply(http.StatusBadRequest, err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	key := objectKey(r)
	_, exists := o.objects[key]
	if exists && r.Header.Get("If-None-Match") == "*" {
		return newReply(http.StatusPreconditionFailed, nil)
	}
	o.objects[key] = body
	if exists {
		return newReply(http.StatusNoContent, nil)
	}
	return newReply(http.StatusCreated, nil)
}

func (o *objectService) remove(r *http.Request, _ []byte) reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.objects, objectKey(r))
	return newReply(http.StatusNoContent, nil)
}

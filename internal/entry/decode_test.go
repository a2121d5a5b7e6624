package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphirepath/samphirepath/api"
	"github.com/samphirepath/samphirepath/internal/ingress"
)

// Guards against a refusal that callers must take for a request that may have been run.
var _ = It("answers not_run when a body is not decoded because others are", func() {
	guard := ingress.New(ingress.Limits{Connections: 1, BodyBytes: 1000, SourceBytes: 1000}, time.Now, nil, nil)
	release := make(chan struct{})
	DeferCleanup(func() { close(release) })
	// Waits until a decoding has to wait, whatever their permitted number is.
	Eventually(func() bool {
		ended := make(chan error, 1)
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		started := make(chan struct{})
		go func() {
			defer cancel()
			ended <- guard.Decode(ctx, func() {
				close(started)
				<-release
			})
		}()
		select {
		case <-started:
			return false
		case err := <-ended:
			return err != nil
		}
	}).WithTimeout(10 * time.Second).Should(BeTrue())

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	recorder := httptest.NewRecorder()
	c := echo.New().NewContext(httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader("{}")).WithContext(ctx), recorder)
	c.Set(guardKey, guard)
	handleError(strictSerializer{}.Deserialize(c, &api.JobSpec{}), c)

	var problem api.Problem
	Expect(json.Unmarshal(recorder.Body.Bytes(), &problem)).To(Succeed())
	Expect(recorder.Code).To(Equal(http.StatusServiceUnavailable))
	Expect(problem.Outcome).To(Equal(api.OutcomeNotRun))
	Expect(recorder.Header().Get("Retry-After")).To(Equal("1"))
})

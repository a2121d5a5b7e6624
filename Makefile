GO ?= go
LINT := $(GO) run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
OAPI := $(GO) run github.com/oapi-codegen/oapi-codegen/v2/cmd/oapi-codegen@v2.8.2
GOPLS := $(GO) run golang.org/x/tools/gopls@v0.23.0

.PHONY: all build generate check-generated format check-format lint vet unit test demo soak rename clean

all: build

build:
	@mkdir -p bin
	$(GO) build -o bin/ ./cmd/...

generate:
	$(OAPI) -config api/oapi-codegen.yaml -o api/api.gen.go api/openapi.yaml

check-generated:
	@scripts/check-generated "$(OAPI)"

format:
	gofmt -w $$(git ls-files '*.go')

check-format:
	@files=$$(gofmt -l $$(git ls-files '*.go')); [ -z "$$files" ] || { echo "gofmt needed: $$files"; exit 1; }

vet:
	$(GO) vet ./...

lint:
	$(LINT) run ./...

unit:
	@scripts/test

test: check-format check-generated vet lint build unit

demo: build
	@scripts/demo

# Example: make soak SOAK="--seed 7 --seeds 50 --jobs 6"
soak:
	$(GO) run ./test/soak $(SOAK)

# Example: make rename AT=internal/jobs/row.go:27:6 TO=NewName
rename:
	$(GOPLS) rename -w $(AT) $(TO)

clean:
	rm -rf bin tmp

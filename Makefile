MODULES = . ./lib ./standin
GOBIN_DIR = $(CURDIR)/bin

.PHONY: all build test lint demo bench fmt

all: build

# Builds the two released binaries and the stand-ins for tests and the demo.
build:
	go build -o $(GOBIN_DIR)/ ./cmd/...
	cd standin && go build -o $(GOBIN_DIR)/ ./cmd/...

lint:
	@test -z "$$(gofmt -l . | tee /dev/stderr)"
	@for m in $(MODULES); do (cd $$m && go vet ./... && go tool staticcheck ./...) || exit 1; done
	@go run ./cmd/sassafrasshunt check

test: build
	@bash .ci/test

demo: build
	@bash scripts/demo

bench: build
	@bash scripts/bench

fmt:
	gofmt -w .

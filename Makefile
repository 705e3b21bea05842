GO ?= go
BUF := $(GO) run github.com/bufbuild/buf/cmd/buf@v1.75.0
BIN := bin

.PHONY: build test lint generate bench bench-against demo clean

build:
	$(GO) build -o $(BIN)/ ./cmd/...

lint:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); \
	if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

test: lint
	./scripts/test.sh

# Downloads the pinned version of buf on first use. The generated code is
# committed.
generate:
	$(BUF) lint
	$(BUF) generate

bench:
	$(GO) run ./cmd/marigold-load gateways
	$(GO) run ./cmd/marigold-load bench

# Usage: make bench-against COMMIT=<earlier commit to compare with>
bench-against:
	./scripts/bench-against.sh $(COMMIT)

demo: build
	./scripts/demo.sh

clean:
	rm -rf $(BIN) out

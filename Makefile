# make demo: runs the main job on the project's own stand-ins.
# make test: runs all tests but those of make test-callers.
GO ?= go
LINT_VERSION = v2.15.0

.PHONY: all soak build demo faults test test-race test-callers lint fmt model bench capacity generate

all: build

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	bash scripts/demo.sh

# Measures the unavailable time of keys under faults; takes about five minutes.
faults: build
	bash scripts/faults.sh

# Plays eight seeds of random faults with real processes, five minutes.
soak: build
	bin/lysoak --seeds 8

# Tests of KNOWN-RED.txt are printed and passed over.
test:
	scripts/known-red.sh $(GO) test ./...

test-race:
	scripts/known-red.sh $(GO) test -race ./...

# Confronts real processes with many callers, one crowd at a time; not to be run beside
# other load.
test-callers:
	$(GO) vet -tags callers ./internal/callertest
	scripts/known-red.sh $(GO) test -count=1 -p 1 -parallel 1 -tags callers ./internal/callertest

fmt:
	gofmt -w $$(git ls-files '*.go')

# Builds the linter at a fixed version; the build is cached.
lint:
	GOBIN=$(CURDIR)/bin $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	bin/golangci-lint run ./...

# Runs the model checker on the specification and its weakened variants.
model:
	bash spec/check.sh

# Placement comparison with its picture, cost of the hops, cost of the fold.
bench:
	bash scripts/bench.sh
	$(GO) test -run '^$$' -bench . -benchtime 15000x ./internal/hopbench
	$(GO) test -run '^$$' -bench . ./internal/state

# Prints the figures of docs/CAPACITY.md.
capacity:
	bash scripts/capacity.sh

# Needs protoc and the two plugins of tools/protoc; only after a change of a
# .proto file.
generate:
	$(GO) build -modfile=tools/protoc/go.mod -o bin/ google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH="$(CURDIR)/bin:$$PATH" protoc --go_out=. --go_opt=paths=source_relative \
		--go-grpc_out=. --go-grpc_opt=paths=source_relative internal/peer/peerpb/peer.proto

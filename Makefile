export CGO_ENABLED = 1
.PHONY: build run test fleet measure lint format
build:
	go build -o bin/ ./cmd/...
run: build
	bash scripts/run.sh
# Tests of KNOWN-RED.txt that fail because of a fault that is not mended yet.
KNOWN_RED = ^TestEndForgottenAfterRestart$$
# The tests of flood start processes under hostile load, apart from the other tests.
test:
	go test -skip '$(KNOWN_RED)' $$(go list ./... | grep -v /flood$$)
	go test ./flood
fleet: build
	bash scripts/fleet.sh authority
	bash scripts/fleet.sh cavalcanti
measure: build
	bin/experiment
lint:
	golangci-lint run ./...
format:
	gofumpt -l -w .

export CGO_ENABLED = 1
.PHONY: build run test fleet measure lint format
build:
	go build -o bin/ ./cmd/...
run: build
	bash scripts/run.sh
# The tests of flood start processes under hostile load, apart from the other tests.
test:
	go test $$(go list ./... | grep -v /flood$$)
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

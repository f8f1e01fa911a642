export CGO_ENABLED = 1
.PHONY: build run test measure lint format
build:
	go build -o bin/ ./cmd/...
run: build
	bash scripts/run.sh
test:
	go test ./...
measure: build
	bin/experiment
lint:
	golangci-lint run ./...
format:
	gofumpt -l -w .

.PHONY: build test lint format spec ci run

build:
	go build -o bin/siskinsaddle ./cmd/siskinsaddle

test:
	go test ./...

lint:
	golangci-lint run ./...

format:
	gofumpt -w $$(git ls-files '*.go')

spec:
	bash spec/check.sh

ci:
	bash .ci/run

run:
	go run ./cmd/siskinsaddle serve --embedded

MODULES := ./core/... ./standin/... ./proof/... ./app/...
SEEDS ?= 1000

.PHONY: build test lint soak

build:
	go build $(MODULES)

test:
	go test -race $(MODULES)

lint:
	@test -z "$$(gofmt -l core standin proof app)" || { gofmt -l core standin proof app; exit 1; }
	go vet $(MODULES)
	go tool staticcheck $(MODULES)

MODULES := ./core/... ./platform/... ./standin/... ./proof/... ./app/...
SEEDS ?= 1000
SEED ?= 1
DURATION ?= 1m

.PHONY: build test lint soak

build:
	go build $(MODULES)

# Tests listed in KNOWN-RED.txt, one at the start of a line, are passed over.
KNOWN_RED := $(shell sed -n 's/^\(Test[A-Za-z0-9_]*\)$$/^\1$$$$/p' KNOWN-RED.txt | paste -sd'|')

test:
	go test -race $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') $(MODULES)

lint:
	@test -z "$$(gofmt -l core platform standin proof app)" || { gofmt -l core platform standin proof app; exit 1; }
	go vet $(MODULES)
	go tool staticcheck $(MODULES)

# Random runs over SEEDS seeds, each DURATION of virtual time. It stops at the
# first failing seed and prints how to replay it.
soak:
	go test ./proof/scenario -run Random -v -timeout 0 -args -seeds $(SEEDS) -seed $(SEED) -duration $(DURATION)

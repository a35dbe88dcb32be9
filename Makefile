MODULES := ./core/... ./platform/... ./standin/... ./proof/... ./app/...
SEEDS ?= 1000
SEED ?= 1
DURATION ?= 1m

.PHONY: build test hostile lint soak

build:
	go build $(MODULES)

# Tests listed in KNOWN-RED.txt, one at the start of a line, are passed over.
KNOWN_RED := $(shell sed -n 's/^\(Test[A-Za-z0-9_]*\)$$/^\1$$$$/p' KNOWN-RED.txt | paste -sd'|')

# Router processes against clients that exceed the limits. The results are not cached, because
# the tests build the program that they start.
HOSTILE_TESTS = go test -race -count=1 $(SKIP) ./app/hostile

SKIP := $(if $(KNOWN_RED),-skip '$(KNOWN_RED)')

# The tests of app/hostile run after all others, because they need an otherwise calm machine.
test:
	@status=0; \
	go test -race $(SKIP) $$(go list $(MODULES) | grep -v '/app/hostile$$') || status=1; \
	$(HOSTILE_TESTS) || status=1; \
	exit $$status

hostile:
	$(HOSTILE_TESTS)

lint:
	@test -z "$$(gofmt -l core platform standin proof app)" || { gofmt -l core platform standin proof app; exit 1; }
	go vet $(MODULES)
	go tool staticcheck $(MODULES)

# Random runs over SEEDS seeds, each DURATION of virtual time. It stops at the
# first failing seed and prints how to replay it.
soak:
	go test ./proof/scenario -run Random -v -timeout 0 -args -seeds $(SEEDS) -seed $(SEED) -duration $(DURATION)

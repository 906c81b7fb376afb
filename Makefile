# "make demo" runs the demo, "make test" all checks and tests.

GO ?= go
BIN := $(CURDIR)/bin
# Tests that fail because of a known fault; "make unit" skips only these.
KNOWN_RED := $(shell sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd '|')

.PHONY: schedules demo demo-faults demo-platform build test lint unit capacity measure generate clean soak soak-ci experiment

demo: build demo-platform
	standin/demo/run.sh

# Runs load on a small deployment of real relay daemons, as separate processes and
# without faults.
demo-platform: build
	$(BIN)/tg-soak --daemon $(BIN)/toucangapd --calm --faults 5s

demo-faults: build
	standin/demo/run.sh --faults

build:
	$(GO) build -o $(BIN)/ ./binaries/... ./standin/binaries/...

test: lint build unit schedules demo-faults soak-ci

lint:
	@test -z "$$(gofmt -l . | tee /dev/stderr)"
	$(GO) vet ./... ./standin/...
	$(GO) tool staticcheck ./... ./standin/...

unit:
	@cat KNOWN-RED.txt
	$(GO) test -timeout 40m -race $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') $$($(GO) list ./... ./standin/... | grep -v standin/emu)
	$(GO) test -timeout 40m $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./standin/emu # one goroutine, nothing to race
	$(GO) test -run "AllocatesNothing|VeryLarge" ./internal/... ./platform

# Prints the measurements behind docs/CAPACITY.md; takes about a minute on two
# cores.
capacity:
	@$(GO) build -o $(BIN)/ ./standin/binaries/tg-capacity
	@$(BIN)/tg-capacity
	$(GO) test -run xxx -cpu 2 -bench 'Tick|Receive|ElectWatchers|FollowerDecide|MarkTable|KeepAlive' \
		-benchtime 0.5s ./internal/membership ./internal/rollout ./internal/peerlink

# schedules runs random mixtures of faults against the lab from fixed seeds.
SCHEDULES ?= 200
EMU_SCHEDULES ?= 40
SEED ?= 1
schedules:
	cd standin && $(GO) test ./emu -run 'TestRandomSchedules' -timeout 30m -args -emu-schedules $(EMU_SCHEDULES) -emu-seed $(SEED)
	cd standin && $(GO) test ./lab -run 'TestRandomSchedules' -v -timeout 60m -args -schedules $(SCHEDULES) -seed $(SEED)

# soak injects random faults into real daemons, for SEEDS seeds from SEED on.
SEEDS ?= 50
soak: build
	$(BIN)/tg-soak --daemon $(BIN)/toucangapd --seed $(SEED) --seeds $(SEEDS) --out out/soak

# A short soak run with fixed seeds, for CI.
soak-ci: build
	$(BIN)/tg-soak --daemon $(BIN)/toucangapd --seed 3 --seeds 2 --faults 4s
	$(BIN)/tg-soak --daemon $(BIN)/toucangapd --seed 3 --seeds 2 --faults 4s --store-kinds

# experiment compares rules for placement under different loads in the emulator.
experiment: build
	$(BIN)/tg-experiment --out out/experiment

measure:
	$(GO) run ./standin/binaries/tg-measure --out out/measure

generate:
	$(GO) build -o $(BIN)/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	for d in internal/peerpb internal/feed/feedpb; do \
		protoc -I $$d --plugin=$(BIN)/protoc-gen-go --go_out=. --go_opt=module=toucangap $$d/*.proto || exit 1; done

clean:
	rm -rf bin out

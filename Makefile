SHELL := /bin/bash
.SHELLFLAGS := -euo pipefail -c

.PHONY: all build lint unit test bench demo fuzz soak regress

all: build

# Builds the daemon, the command-line tool and the stand-ins into bin/.
build:
	go build -o bin/ ./cmd/...

lint:
	unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	go vet ./... ./.ci/knownred
	go tool staticcheck ./... ./.ci/knownred

unit:
	set +e +o pipefail; go test -race -p 4 -parallel 4 -timeout 10m -json ./... | go run ./.ci/knownred

# Everything that CI runs.
test: lint unit

# The measurements, with their tables on standard output.
bench:
	go test -run '^$$' -bench . -benchtime 1x -timeout 30m ./...

# Plays fifty seeds of faults against real hosts on loopback, some minutes.
soak: build
	bin/mustarddoor-soak --seeds 50 --callers 24 --faults 24

# Plays the cases of both reviews, some minutes; not a part of CI.
regress:
	./.ci/regress

# Fuzzes each target for a short, fixed number of inputs.
fuzz:
	./.ci/fuzz

# Runs the whole system on loopback and stops by itself.
demo: build
	./demo/run

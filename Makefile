# Front door of the project; `make help` lists the targets.
GO       ?= go
BIN      := bin/magnoliahoist
# Tests named in KNOWN-RED.txt run apart from the others.
RED      := $(shell sed -n 's/^test: *\([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
SKIP     := $(if $(RED),-skip '^($(RED))$$',)

.PHONY: help build run test lint generate generated model prove bench red size ci clean

help: ## list the targets
	@grep -hE '^[a-z]+:.*##' Makefile | sed 's/:.*##/\t/'

build: ## build the binary
	$(GO) build -o $(BIN) .

run: build ## run everything in one process with example tables
	./$(BIN) dev

test: build ## run the tests with the race detector
	$(GO) test -race -count=1 -timeout 20m $(SKIP) ./...
	@$(MAKE) --no-print-directory red

red: ## run the tests of KNOWN-RED.txt and print their result
	@if [ -n "$(RED)" ]; then echo "known red: $(RED)"; $(GO) test -race -count=1 -run '^($(RED))$$' ./... || true; fi

lint: ## check format and run the linters
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "not formatted: $$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

generate: ## write the generated code anew
	@sh tools/generate.sh

generated: generate ## check that the committed generated code is current
	@git diff --exit-code --stat -- '*_string.go' '*.pb.go' '*.twirp.go'

model: ## search the protocol specification with Spin
	@sh model/run.sh

prove: build model ## run every proof of docs/proof.md
	$(GO) test -race -timeout 9m -count=1 $(SKIP) -run 'Prove|Invariant|Linear|Property' ./...

bench: ## run the policy benchmark and the decision benchmarks
	$(GO) test -timeout 30m -count=1 -run '^$$' -bench . -benchmem ./limit ./queue ./endpoint ./state
	$(GO) run . bench

size: ## print the lines of the platform's folder, of the product and of the tests
	@echo "platform/ $$(git ls-files 'platform/*.go' | grep -v '_test.go\|fakeplatform' | xargs cat | wc -l)"
	@echo "product  $$(git ls-files '*.go' | grep -vE '_test\.go|\.pb\.go|\.twirp\.go|_string\.go|^fake|fakeplatform' | xargs cat | wc -l)"
	@echo "tests    $$(git ls-files '*_test.go' | xargs cat | wc -l)"

ci: lint generated test model ## what continuous integration runs

clean: ## remove built files
	rm -rf bin

.PHONY: bench demo test generate lint spec spec-long slopes

DEPLOYMENT ?= adwenpa

demo:
	./scripts/demo.sh $(DEPLOYMENT)

test:
	./scripts/test.sh

bench:
	./scripts/bench.sh

generate:
	./scripts/generate.sh

lint:
	./scripts/lint.sh

spec:
	./scripts/spec.sh

spec-long:
	./scripts/spec.sh long

slopes:
	./scripts/slopes.sh

.PHONY: demo test generate lint

DEPLOYMENT ?= adwenpa

demo:
	./scripts/demo.sh $(DEPLOYMENT)

test:
	./scripts/test.sh

generate:
	./scripts/generate.sh

lint:
	./scripts/lint.sh

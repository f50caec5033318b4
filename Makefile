# What a developer needs, in one place. `make run` starts the router of the example; `make toy` its caches and journal.

CONFIG ?= examples/config.json

.PHONY: build test lint run toy ask hierarchy gateway

build:
	cargo build --release

test:
	cargo test --workspace

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets -- -D warnings

run: build
	LB_CONFIG=$(CONFIG) target/release/linnethook

toy:
	cargo run --release -p linnethook-quickstart --bin quickstart-servers -- $(CONFIG)

ask:
	cargo run --release -p linnethook-quickstart --bin quickstart-client -- 127.0.0.1:8080 video 7f3a9c21e0b4d655

# Moves a hub cache under load, in stages and immediately, and prints what reached the origin. Half a minute.
hierarchy:
	cargo build --release --workspace
	target/release/hub-move --short

# Two sites with a gateway each; the link between them is cut and goes silent under load. Half a minute.
gateway:
	cargo build --release --workspace
	target/release/two-sites

.PHONY: test format lint build generate bench-scheduling experiment

test: format lint
	cargo test --workspace --locked

format:
	cargo fmt --all --check

lint:
	cargo clippy --workspace --all-targets --locked -- -D warnings

build:
	cargo build --release --workspace --locked

# Writes the committed code of the published schema anew.
generate:
	cargo run --manifest-path tools/generate-api/Cargo.toml --locked
bench-scheduling:
	cargo run --release --locked -p ridgeworks-scheduling --example decision_cost

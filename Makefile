.PHONY: test format lint build

test: format lint
	cargo test --workspace --locked

format:
	cargo fmt --all --check

lint:
	cargo clippy --workspace --all-targets --locked -- -D warnings

build:
	cargo build --release --workspace --locked

.PHONY: compare-detectors

compare-detectors:
	cargo run --release --locked -p ridgeworks-membership --example compare

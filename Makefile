.PHONY: test format lint build generate check-generated

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

# Fails when the committed code does not match the published schema.
check-generated: generate
	git diff --exit-code -- crates/api/src/generated

.PHONY: test format lint build generate bench-scheduling experiment bench-storage

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
# Two libraries in one run, on the disk of BENCH_FOLDER.
BENCH_FOLDER ?= target/bench-storage
bench-storage:
	cargo build --release --locked -p ridgeworks-storage --example bench_storage
	for mode in appends idle reopen; do \
	  for library in redb fjall; do \
	    target/release/examples/bench_storage $$mode $$library $(BENCH_FOLDER) || exit 1; \
	  done; \
	done

.PHONY: test format lint build bench-storage

test: format lint
	cargo test --workspace --locked

format:
	cargo fmt --all --check

lint:
	cargo clippy --workspace --all-targets --locked -- -D warnings

build:
	cargo build --release --workspace --locked

# Two libraries in one run, on the disk of BENCH_FOLDER.
BENCH_FOLDER ?= target/bench-storage
bench-storage:
	cargo build --release --locked -p ridgeworks-storage --example bench_storage
	for mode in appends idle reopen; do \
	  for library in redb fjall; do \
	    target/release/examples/bench_storage $$mode $$library $(BENCH_FOLDER) || exit 1; \
	  done; \
	done

//! Benchmarks durable appends, idle runs and reopening, for this store and for `fjall`.
//!
//! `bench_storage appends|idle|reopen redb|fjall FOLDER`; `make bench-storage` runs all of them.

mod libraries;

use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::bounded;
use hdrhistogram::Histogram;
use libraries::{Append, FjallLog, Log, RedbLog};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENTRY_BYTES: usize = 1_024;
const HEAD_BYTES: usize = 72;
const WRITERS: [usize; 4] = [1, 8, 64, 512];
const MEASURED: Duration = Duration::from_secs(4);
const WRITER_STACK_BYTES: usize = 64 * 1024;
const IDLE_STEPS: usize = 5;
const RUNS_PER_STEP: usize = 10_000;
const ENTRIES_PER_IDLE_RUN: u64 = 4;
const RUNS_PER_BATCH: usize = 500;
const SEED: u64 = 1;

fn open(library: &str, folder: &Path) -> Arc<dyn Log> {
    match library {
        "redb" => Arc::new(RedbLog::open(folder)),
        "fjall" => Arc::new(FjallLog::open(folder)),
        other => panic!("unknown library {other}"),
    }
}

fn random_bytes(random: &mut ChaCha8Rng, length: usize) -> Vec<u8> {
    (0..length).map(|_| random.random()).collect()
}

fn append_until(log: &dyn Log, seed: u64, end: Instant) -> Histogram<u64> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let run = random.random();
    let entry = random_bytes(&mut random, ENTRY_BYTES);
    let head = random_bytes(&mut random, HEAD_BYTES);
    let mut latencies = Histogram::new(3).expect("histogram");
    let (durable, done) = bounded(1);
    for index in 0.. {
        let started = Instant::now();
        if started >= end {
            break;
        }
        log.append(vec![Append {
            run,
            index,
            entry: entry.clone(),
            head: head.clone(),
            durable: durable.clone(),
        }]);
        done.recv().expect("durable");
        let micros = started.elapsed().as_micros();
        latencies
            .record(u64::try_from(micros).expect("short"))
            .expect("in range");
    }
    latencies
}

fn measure_appends(library: &str, folder: &Path) {
    println!("library writers appends_per_s p50_us p95_us p99_us appends_per_commit");
    for writers in WRITERS {
        let folder = folder.join(format!("appends-{library}-{writers}"));
        let log = open(library, &folder);
        let commits_before = log.commits();
        let started = Instant::now();
        let end = started + MEASURED;
        let threads: Vec<_> = (0..writers as u64)
            .map(|seed| {
                let log = Arc::clone(&log);
                let builder = thread::Builder::new().stack_size(WRITER_STACK_BYTES);
                let work = move || append_until(log.as_ref(), seed, end);
                builder.spawn(work).expect("thread")
            })
            .collect();
        let mut latencies = Histogram::<u64>::new(3).expect("histogram");
        for thread in threads {
            latencies
                .add(thread.join().expect("writer"))
                .expect("same range");
        }
        let appends = latencies.len() as f64;
        println!(
            "{library} {writers} {:.0} {} {} {} {:.1}",
            appends / started.elapsed().as_secs_f64(),
            latencies.value_at_quantile(0.5),
            latencies.value_at_quantile(0.95),
            latencies.value_at_quantile(0.99),
            appends / (log.commits() - commits_before) as f64,
        );
        drop(log);
        fs::remove_dir_all(&folder).expect("removable");
    }
}

fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.expect("VmRSS").parse().expect("number")
}

fn disk_kib(folder: &Path) -> u64 {
    use std::os::unix::fs::MetadataExt;
    let entries = fs::read_dir(folder).expect("folder");
    let sizes = entries.map(|entry| {
        let entry = entry.expect("entry");
        let metadata = entry.metadata().expect("metadata");
        match metadata.is_dir() {
            true => disk_kib(&entry.path()),
            false => metadata.blocks() / 2,
        }
    });
    sizes.sum()
}

fn add_idle_runs(log: &dyn Log, random: &mut ChaCha8Rng) {
    for _ in 0..RUNS_PER_STEP / RUNS_PER_BATCH {
        let (durable, done) = bounded(RUNS_PER_BATCH * ENTRIES_PER_IDLE_RUN as usize);
        let mut appends = Vec::new();
        for _ in 0..RUNS_PER_BATCH {
            let run = random.random();
            for index in 0..ENTRIES_PER_IDLE_RUN {
                appends.push(Append {
                    run,
                    index,
                    entry: random_bytes(random, ENTRY_BYTES),
                    head: random_bytes(random, HEAD_BYTES),
                    durable: durable.clone(),
                });
            }
        }
        let expected = appends.len();
        log.append(appends);
        (0..expected).for_each(|_| done.recv().expect("durable"));
    }
}

/// Exits without closing the store, so that `reopen` measures recovery after a crash of the process.
fn measure_idle_runs(library: &str, folder: &Path) {
    let folder = folder.join(format!("idle-{library}"));
    let log = open(library, &folder);
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    println!(
        "library runs resident_kib disk_kib (entries of {ENTRY_BYTES} B per run: {ENTRIES_PER_IDLE_RUN})"
    );
    println!("{library} 0 {} {}", resident_kib(), disk_kib(&folder));
    for step in 1..=IDLE_STEPS {
        add_idle_runs(log.as_ref(), &mut random);
        let runs = step * RUNS_PER_STEP;
        println!("{library} {runs} {} {}", resident_kib(), disk_kib(&folder));
    }
    std::process::exit(0);
}

fn measure_reopen(library: &str, folder: &Path) {
    let folder = folder.join(format!("idle-{library}"));
    println!("library heads open_ms read_heads_ms resident_kib");
    let started = Instant::now();
    let log = open(library, &folder);
    let opened = started.elapsed();
    let heads = log.count_heads();
    let read = started.elapsed() - opened;
    println!(
        "{library} {heads} {} {} {}",
        opened.as_millis(),
        read.as_millis(),
        resident_kib()
    );
    drop(log);
    fs::remove_dir_all(&folder).expect("removable");
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [mode, library, folder] = arguments.as_slice() else {
        panic!("usage: bench_storage appends|idle|reopen redb|fjall FOLDER");
    };
    let folder = Path::new(folder);
    fs::create_dir_all(folder).expect("folder");
    match mode.as_str() {
        "appends" => measure_appends(library, folder),
        "idle" => measure_idle_runs(library, folder),
        "reopen" => measure_reopen(library, folder),
        other => panic!("unknown mode {other}"),
    }
}

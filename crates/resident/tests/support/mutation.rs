//! Runs decoders on samples with random changes, from a seed.
//!
//! `RIDGEWORKS_FUZZ_CASES` and `RIDGEWORKS_FUZZ_SEED` set another number of cases and another seed than CI uses (`make fuzz`).

use std::env;
use std::fs;

use quickcheck::{Gen, QuickCheck};

const CASES: u64 = 20_000;
const SEED: u64 = 1;
const SIZE: usize = 12;
/// Limit of the growth of a test's address space, in KiB. The largest sample has a few KiB and its decoded form may be a few
/// times as large; threads reserve 64 MiB each.
const MAX_GROWTH_KIB: u64 = 512 * 1024;
/// Values that break lengths and offsets.
const EXTREMES: [u32; 6] = [0, 1, 0x7fff_ffff, 0x8000_0000, 0xffff_ff00, 0xffff_ffff];

/// One change: position, kind and value.
pub type Edit = (u16, u8, u32);

/// Applies changes to a copy of the bytes.
pub fn apply_edits(bytes: &[u8], edits: &[Edit]) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for edit in edits {
        apply(&mut bytes, *edit);
    }
    bytes
}

fn apply(bytes: &mut Vec<u8>, (position, kind, value): Edit) {
    let position = usize::from(position) % (bytes.len() + 1);
    let length = (bytes.len() as u32).to_le_bytes();
    let [byte, ..] = value.to_le_bytes();
    match kind % 7 {
        0 => set(bytes, position, &[byte]),
        1 => set(bytes, position, &value.to_le_bytes()),
        2 => set(
            bytes,
            position,
            &EXTREMES[value as usize % EXTREMES.len()].to_le_bytes(),
        ),
        3 => bytes.truncate(position),
        4 => bytes.insert(position, byte),
        5 => {
            let copied = bytes[position..].to_vec();
            bytes.extend(copied);
        }
        _ => set(bytes, position, &length),
    }
}

fn set(bytes: &mut [u8], position: usize, value: &[u8]) {
    for (byte, value) in bytes[position..].iter_mut().zip(value) {
        *byte = *value;
    }
}

fn number(variable: &str, default: u64) -> u64 {
    let given = env::var(variable).ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs `read` on randomly changed samples. Fails if it panics or if the address space grows by more than [`MAX_GROWTH_KIB`].
pub fn check(samples: Vec<Vec<u8>>, read: fn(&[u8])) {
    check_fraction(samples, read, 1);
}

/// The same with the number of cases divided by `divisor`.
pub fn check_fraction(samples: Vec<Vec<u8>>, read: fn(&[u8]), divisor: u64) {
    let before = peak_kib();
    let cases = number("RIDGEWORKS_FUZZ_CASES", CASES) / divisor;
    let generator = Gen::from_size_and_seed(SIZE, number("RIDGEWORKS_FUZZ_SEED", SEED));
    let property = Mutations { samples, read };
    QuickCheck::new()
        .rng(generator)
        .tests(cases)
        .max_tests(cases)
        .quickcheck(property);
    let grown = peak_kib() - before;
    assert!(
        grown < MAX_GROWTH_KIB,
        "the address space grew by {grown} KiB"
    );
}

struct Mutations {
    samples: Vec<Vec<u8>>,
    read: fn(&[u8]),
}

impl quickcheck::Testable for Mutations {
    fn result(&self, generator: &mut Gen) -> quickcheck::TestResult {
        use quickcheck::Arbitrary;
        let sample = usize::arbitrary(generator) % self.samples.len();
        let edits = Vec::<Edit>::arbitrary(generator);
        let bytes = apply_edits(&self.samples[sample], &edits);
        let outcome = std::panic::catch_unwind(|| (self.read)(&bytes));
        match outcome {
            Ok(()) => quickcheck::TestResult::passed(),
            Err(_) => quickcheck::TestResult::error(format!("sample {sample}, edits {edits:?}")),
        }
    }
}

/// Peak size of this process's address space, in KiB.
fn peak_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("/proc is mounted");
    let line = status.lines().find_map(|line| line.strip_prefix("VmPeak:"));
    let kib = line.and_then(|line| line.trim().strip_suffix(" kB"));
    kib.and_then(|kib| kib.parse().ok()).expect("VmPeak in KiB")
}

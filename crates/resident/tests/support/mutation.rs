//! Bytes that were changed at random, from a seed.
//!
//! `RIDGEWORKS_FUZZ_CASES` and `RIDGEWORKS_FUZZ_SEED` ask for more cases, and for others, than CI takes (`make fuzz`).

use std::env;
use std::fs;

use quickcheck::{Gen, QuickCheck};

const CASES: u64 = 20_000;
const SEED: u64 = 1;
const SIZE: usize = 12;
/// Address space that a test may take beyond what it had, in KiB. The largest sample has some KiB, and what is read of it
/// may be some times as large; threads reserve 64 MiB each.
const MOST_KIB: u64 = 512 * 1024;
/// Values that lengths and offsets are changed to.
const EXTREMES: [u32; 6] = [0, 1, 0x7fff_ffff, 0x8000_0000, 0xffff_ff00, 0xffff_ffff];

/// One change: where, how, and to what.
pub type Edit = (u16, u8, u32);

/// The bytes after these changes.
pub fn mutated(bytes: &[u8], edits: &[Edit]) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for edit in edits {
        apply(&mut bytes, *edit);
    }
    bytes
}

fn apply(bytes: &mut Vec<u8>, (place, kind, value): Edit) {
    let place = usize::from(place) % (bytes.len() + 1);
    let length = (bytes.len() as u32).to_le_bytes();
    let [byte, ..] = value.to_le_bytes();
    match kind % 7 {
        0 => set(bytes, place, &[byte]),
        1 => set(bytes, place, &value.to_le_bytes()),
        2 => set(
            bytes,
            place,
            &EXTREMES[value as usize % EXTREMES.len()].to_le_bytes(),
        ),
        3 => bytes.truncate(place),
        4 => bytes.insert(place, byte),
        5 => {
            let copied = bytes[place..].to_vec();
            bytes.extend(copied);
        }
        _ => set(bytes, place, &length),
    }
}

fn set(bytes: &mut [u8], place: usize, value: &[u8]) {
    for (byte, value) in bytes[place..].iter_mut().zip(value) {
        *byte = *value;
    }
}

fn number(variable: &str, default: u64) -> u64 {
    let given = env::var(variable).ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Brings each sample, changed at random, before what reads it; fails where that panics or asks for absurd memory.
pub fn check(samples: Vec<Vec<u8>>, read: fn(&[u8])) {
    check_some(samples, read, 1);
}

/// The same with one of so many cases.
pub fn check_some(samples: Vec<Vec<u8>>, read: fn(&[u8]), share: u64) {
    let before = peak_kib();
    let cases = number("RIDGEWORKS_FUZZ_CASES", CASES) / share;
    let generator = Gen::from_size_and_seed(SIZE, number("RIDGEWORKS_FUZZ_SEED", SEED));
    let property = Mutations { samples, read };
    QuickCheck::new()
        .rng(generator)
        .tests(cases)
        .max_tests(cases)
        .quickcheck(property);
    let grown = peak_kib() - before;
    assert!(grown < MOST_KIB, "{grown} KiB were asked for");
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
        let bytes = mutated(&self.samples[sample], &edits);
        let outcome = std::panic::catch_unwind(|| (self.read)(&bytes));
        match outcome {
            Ok(()) => quickcheck::TestResult::passed(),
            Err(_) => quickcheck::TestResult::error(format!("sample {sample}, edits {edits:?}")),
        }
    }
}

/// The most address space that this process ever had, in KiB.
fn peak_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("the system's figures");
    let line = status.lines().find_map(|line| line.strip_prefix("VmPeak:"));
    let kib = line.and_then(|line| line.trim().strip_suffix(" kB"));
    kib.and_then(|kib| kib.parse().ok()).expect("a peak")
}

//! Measures the time to find a request's tenant by its key, and the memory of each key, for three numbers of
//! tenants.
//!
//! `cargo run --release -p ridgeworks-routing --example tenant_lookup`

use std::hint::black_box;
use std::time::Instant;

use ridgeworks_routing::{KeyDigest, Tenant, TenantTable};

const LOOKUPS: usize = 200_000;
const KEYS_PER_TENANT: usize = 2;

fn key(tenant: usize, number: usize) -> String {
    format!("key-{number}-of-tenant-{tenant:06}")
}

fn tenants(count: usize) -> Vec<Tenant> {
    let tenants = (0..count).map(|tenant| Tenant {
        name: format!("tenant-{tenant}"),
        keys: (0..KEYS_PER_TENANT)
            .filter_map(|number| KeyDigest::of(key(tenant, number).as_bytes()))
            .collect(),
        priority: None,
        limit: None,
        residency: ridgeworks_routing::Residency::anywhere(),
    });
    tenants.collect()
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    const PAGE: usize = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<usize>().ok())
        .unwrap_or_default()
        * PAGE
}

fn main() {
    println!("tenants  digest_us  lookup_us  bytes_a_key");
    for count in [75, 3_700, 100_000] {
        let tenants = tenants(count);
        let before = resident_bytes();
        let table = TenantTable::new(&tenants);
        let bytes = resident_bytes().saturating_sub(before);
        let keys: Vec<String> = (0..LOOKUPS)
            .map(|number| key(number * 7_919 % count, 1))
            .collect();
        let started_at = Instant::now();
        let digests: Vec<KeyDigest> = keys
            .iter()
            .filter_map(|key| KeyDigest::of(black_box(key.as_bytes())))
            .collect();
        let digest_us = started_at.elapsed().as_secs_f64() * 1e6 / LOOKUPS as f64;
        let started_at = Instant::now();
        let found = digests
            .iter()
            .filter(|digest| table.holder(**digest).is_some())
            .count();
        let lookup_us = started_at.elapsed().as_secs_f64() * 1e6 / LOOKUPS as f64;
        assert_eq!(found, LOOKUPS);
        let bytes_per_key = bytes as f64 / (count * KEYS_PER_TENANT) as f64;
        println!("{count:>7}  {digest_us:>9.3}  {lookup_us:>9.3}  {bytes_per_key:>11.0}");
    }
}

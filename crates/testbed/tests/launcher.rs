//! Pieces of the launcher, the measures and the bench.

use std::time::Duration;

use clap::Parser;
use ridgeworks_testbed::bench::{NodeProcess, slope};
use ridgeworks_testbed::cluster::{PartnerToken, PresetName, ReadyLine, RelayUse, link_name};
use ridgeworks_testbed::cluster_command::{ClusterArguments, WorkingFolder};
use ridgeworks_testbed::measures::Distribution;

#[derive(Parser)]
struct Line {
    #[command(flatten)]
    arguments: ClusterArguments,
}

#[test]
fn the_ready_lines_of_stand_ins_and_nodes_are_read() {
    let address = |text: &str| text.parse().expect("an address");
    let stand_in = ReadyLine::parse("listening 127.0.0.1:80");
    let node = ReadyLine::parse("listening 127.0.0.1:80 links 127.0.0.1:81");
    assert_eq!(
        stand_in,
        Some(ReadyLine {
            address: address("127.0.0.1:80"),
            links: None
        })
    );
    assert_eq!(
        node.and_then(|line| line.links),
        Some(address("127.0.0.1:81"))
    );
    assert_eq!(ReadyLine::parse("listening nowhere"), None);
    assert_eq!(ReadyLine::parse("started"), None);
}

#[test]
fn flags_of_the_deployment_are_read() {
    let line = Line::try_parse_from(["cluster", "--preset", "serra-branca", "--relay", "all"]);
    let arguments = line.expect("valid flags").arguments;
    assert_eq!(arguments.preset, PresetName::SerraBranca);
    assert_eq!(arguments.relay, RelayUse::All);
    assert!(Line::try_parse_from(["cluster", "--preset", "other"]).is_err());
}

#[test]
fn a_temporary_folder_is_removed_and_a_named_one_stays() {
    let temporary = WorkingFolder::make(None).expect("a folder");
    let path = temporary.path().to_owned();
    let kept = path.join("kept");
    drop(WorkingFolder::make(Some(&kept)).expect("a folder"));
    assert!(kept.is_dir());
    drop(temporary);
    assert!(!path.exists());
}

#[test]
fn a_token_goes_into_settings_as_its_sha256() {
    let token = PartnerToken {
        partner: "partner".to_owned(),
        token: "abc".to_owned(),
    };
    let digest = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(token.sha256(), digest);
}

#[test]
fn links_are_named_by_both_ends() {
    assert_eq!(link_name("a", "b"), "a--b");
}

#[test]
fn a_distribution_gives_its_quantiles_in_milliseconds() {
    let mut distribution = Distribution::default();
    (1..=100).for_each(|value| distribution.record(Duration::from_millis(value)));
    assert!((distribution.p50_ms() - 50.0).abs() < 0.1);
    assert!((distribution.p95_ms() - 95.0).abs() < 0.1);
    distribution.record(Duration::from_secs(100_000));
    assert_eq!(distribution.count(), 101);
}

#[test]
fn the_slope_is_that_of_the_line() {
    let points = [(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)];
    assert_eq!(slope(&points), Some(2.0));
    assert_eq!(slope(&points[..1]), None);
    assert_eq!(slope(&[]), None);
}

#[test]
fn figures_of_this_process_are_read() {
    let process = NodeProcess {
        id: std::process::id(),
    };
    assert!(process.resident_bytes().expect("readable") > 0);
    process.cpu_time().expect("readable");
}

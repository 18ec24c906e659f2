//! The settings file: every fault at once, and flags that override keys.

use std::collections::BTreeSet;
use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

use ridgeworks_node::settings::{self, Flags, Settings, SettingsError, keys};
use tempfile::TempDir;

const GOOD: &str = r#"
name = "node-1"
zone = "zone-1"
listen = "127.0.0.1:7001"
link_listen = "127.0.0.1:7002"
peers = ["127.0.0.1:7102"]
configuration_voters = ["node-1", "node-2"]

[[dial_overrides]]
advertised = "127.0.0.1:7102"
dial = "127.0.0.1:7202"

[[bootstrap_partners]]
name = "partner-1"
token_sha256 = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

[store]
data_dir = "data"
"#;

struct SettingsFile {
    _folder: TempDir,
    path: PathBuf,
}

fn file(text: &str) -> SettingsFile {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("node.toml");
    fs::write(&path, text).expect("the file is written");
    SettingsFile {
        _folder: folder,
        path,
    }
}

fn load(text: &str, flags: &Flags) -> Result<Settings, SettingsError> {
    settings::load(Some(&file(text).path), flags)
}

/// Keys and values of all faults, in order.
fn faults(text: &str) -> Vec<(String, String)> {
    match load(text, &Flags::default()) {
        Err(SettingsError::Faults(faults)) => faults
            .into_iter()
            .map(|fault| (fault.key, fault.value))
            .collect(),
        other => panic!("expected faults, got {other:?}"),
    }
}

fn check_settings(text: &str, flags: &[&str]) -> Output {
    let file = file(text);
    Command::new(env!("CARGO_BIN_EXE_ridgeworksd"))
        .arg("check-settings")
        .arg(&file.path)
        .args(flags)
        .output()
        .expect("the node's program runs")
}

#[test]
fn a_good_file_has_no_fault() {
    assert!(load(GOOD, &Flags::default()).is_ok());
    let output = check_settings(GOOD, &[]);
    assert!(output.status.success());
    assert!(output.stderr.is_empty());
}

#[test]
fn the_program_prints_every_fault_with_key_value_and_what_is_allowed() {
    let text = r#"
name = "no name"
zone = 3
colour = "red"
listen = "localhost:80"
link_listen = "127.0.0.1:7002"

[edge]
max_body_bytes = 5
max_bodies = 4
idle_timeout_ms = "soon"

[log]
level = "loud"
"#;
    let output = check_settings(text, &[]);
    assert_eq!(output.status.code(), Some(1));
    let printed = String::from_utf8(output.stderr).expect("text");
    let expected = [
        ("zone = 3: ", "allowed is 1 to 128 letters"),
        ("colour = \"red\": ", "no such key, allowed are name, zone"),
        ("listen = \"localhost:80\": ", "allowed is an IP number"),
        (
            "edge.max_bodies = 4: ",
            "no such key, allowed are max_concurrent_requests",
        ),
        (
            "edge.idle_timeout_ms = \"soon\": ",
            "allowed is 10 to 3600000",
        ),
        ("name = \"no name\": ", "allowed are 1 to 128 letters"),
        ("edge.max_body_bytes = 5: ", "allowed are 1024 to 67108864"),
        ("log.level = \"loud\": ", "allowed are error, warn"),
    ];
    for (start, allowed) in expected {
        let line = printed.lines().find(|line| line.starts_with(start));
        let line = line.unwrap_or_else(|| panic!("no line for {start} in:\n{printed}"));
        assert!(line.contains(allowed), "{line}");
    }
    assert_eq!(printed.lines().count(), expected.len(), "{printed}");
}

#[test]
fn entries_of_lists_are_named_by_their_place_in_the_file() {
    let text = GOOD.replace(
        r#"peers = ["127.0.0.1:7102"]"#,
        r#"peers = ["a", "127.0.0.1:7102", "b", "0.0.0.0:1"]"#,
    );
    let keys: Vec<String> = faults(&text).into_iter().map(|(key, _)| key).collect();
    assert_eq!(keys, ["peers[0]", "peers[2]", "peers[3]"]);
}

#[test]
fn partners_need_a_digest_and_a_name_of_their_own() {
    let digest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
    let text = format!(
        r#"{GOOD}
[[bootstrap_partners]]
name = "partner-1"
token_sha256 = "{digest}"

[[bootstrap_partners]]
name = "partner-2"
token_sha256 = "{}"

[[bootstrap_partners]]
name = "partner-3"
token = "secret"
"#,
        digest.to_uppercase()
    );
    let keys: Vec<String> = faults(&text).into_iter().map(|(key, _)| key).collect();
    let expected = [
        "bootstrap_partners[3].token",
        "bootstrap_partners[1].name",
        "bootstrap_partners[1].token_sha256",
        "bootstrap_partners[2].token_sha256",
    ];
    assert_eq!(keys, expected);
}

#[test]
fn an_entry_without_a_field_is_a_fault() {
    let text = GOOD.replace("dial = \"127.0.0.1:7202\"\n", "");
    let expected = r#"{ advertised = "127.0.0.1:7102" }"#;
    let found = faults(&text);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].0, "dial_overrides[0]");
    assert_eq!(found[0].1, expected);
}

#[test]
fn addresses_that_nobody_can_dial_are_faults() {
    let text = GOOD
        .replace("127.0.0.1:7202", "0.0.0.0:7202")
        .replace("listen = \"127.0.0.1:7002\"", "listen = \"0.0.0.0:7002\"");
    let keys: Vec<String> = faults(&text).into_iter().map(|(key, _)| key).collect();
    assert_eq!(keys, ["advertise", "dial_overrides[0].dial"]);
}

#[test]
fn a_voter_needs_a_disk_and_a_name_once() {
    let text = GOOD
        .replace("data_dir = \"data\"", "")
        .replace("\"node-2\"]", "\"node-2\", \"node-2\"]");
    let expected = [
        (
            "configuration_voters[2]".to_owned(),
            "\"node-2\"".to_owned(),
        ),
        ("store.data_dir".to_owned(), "absent".to_owned()),
    ];
    assert_eq!(faults(&text), expected);
}

#[test]
fn text_that_is_no_toml_is_told_as_such() {
    let result = load("name = ", &Flags::default());
    assert!(matches!(result, Err(SettingsError::Parse(_))));
}

#[test]
fn flags_override_keys_and_are_checked_as_well() {
    let flags = Flags {
        zone: Some("zone-9".to_owned()),
        peers: vec!["127.0.0.1:9".parse().expect("an address")],
        ..Flags::default()
    };
    let settings = load(GOOD, &flags).expect("no fault");
    assert_eq!(settings.zone, "zone-9");
    assert_eq!(settings.peers, flags.peers);
    assert_eq!(settings.name, "node-1");
    assert!(
        check_settings("zone = \"z\"", &["--name", "n"])
            .status
            .success()
    );
    let output = check_settings(GOOD, &["--log-level", "loud"]);
    let printed = String::from_utf8(output.stderr).expect("text");
    assert!(printed.starts_with("log.level = \"loud\""), "{printed}");
}

#[test]
fn the_reference_names_every_key() {
    let reference = include_str!("../../../docs/operations/settings.md");
    for key in keys::all().filter(|key| !key.ends_with("[]")) {
        let name = key.replace("[]", "");
        assert!(reference.contains(&format!("`{name}`")), "{name}");
    }
}

/// The deserializer names the fields that it knows when it meets another one.
#[test]
fn the_list_of_keys_is_the_one_of_the_deserializer() {
    let tables = [
        "",
        "edge",
        "store",
        "owner",
        "sweep",
        "log",
        "dial_overrides[]",
        "bootstrap_partners[]",
    ];
    for table in tables {
        let text = match table.strip_suffix("[]") {
            Some(list) => format!("[[{list}]]\nzzz = 1"),
            None if table.is_empty() => "zzz = 1".to_owned(),
            None => format!("[{table}]\nzzz = 1"),
        };
        let error = toml::from_str::<Settings>(&text).expect_err("no such key");
        let (_, known) = error.message().split_once("expected").expect("a list");
        let known: BTreeSet<&str> = known.split('`').skip(1).step_by(2).collect();
        let separator = if table.is_empty() { "" } else { "." };
        let listed = keys::siblings(&format!("{table}{separator}zzz")).collect();
        assert_eq!(known, listed, "{table}");
    }
}

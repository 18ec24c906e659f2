//! All keys of the settings file, with what is allowed for each.

/// One key, or the fields of a list's entries.
struct Key {
    /// Path with dots; `[]` stands for any entry of a list.
    path: &'static str,
    /// What is allowed.
    allowed: &'static str,
}

const IDENTIFIER: &str = "1 to 128 letters, digits and . _ : -";
const ADDRESS: &str = "an IP number and a port, as in \"127.0.0.1:7000\"";
const PATH: &str = "a path";

const KEYS: &[Key] = &[
    key("name", IDENTIFIER),
    key("zone", IDENTIFIER),
    key("region", IDENTIFIER),
    key("listen", ADDRESS),
    key("link_listen", ADDRESS),
    key("advertise", ADDRESS),
    key("peers", "a list of addresses"),
    key("peers[]", ADDRESS),
    key(
        "dial_overrides",
        "a list of tables with advertised and dial",
    ),
    key("dial_overrides[]", "a table with advertised and dial"),
    key("dial_overrides[].advertised", ADDRESS),
    key("dial_overrides[].dial", ADDRESS),
    key("configuration_voters", "a list of node names"),
    key("configuration_voters[]", IDENTIFIER),
    key(
        "bootstrap_partners",
        "a list of tables with name and token_sha256",
    ),
    key("bootstrap_partners[]", "a table with name and token_sha256"),
    key("bootstrap_partners[].name", IDENTIFIER),
    key(
        "bootstrap_partners[].token_sha256",
        "64 digits of lower-case hexadecimal",
    ),
    key("platform", ADDRESS),
    key("edge", "a table"),
    key("edge.max_concurrent_requests", "1 to 100000"),
    key("edge.max_body_bytes", "1024 to 67108864"),
    key("edge.idle_timeout_ms", "10 to 3600000"),
    key("edge.write_timeout_ms", "10 to 3600000"),
    key("store", "a table"),
    key("store.data_dir", PATH),
    key("owner", "a table"),
    key("owner.default_deadline_ms", "10 to 3600000"),
    key("owner.stop_timeout_ms", "10 to 3600000"),
    key("sweep", "a table"),
    key("sweep.silent_ms", "10 to 3600000"),
    key("sweep.dead_ms", "10 to 3600000"),
    key("log", "a table"),
    key("log.file", PATH),
    key("log.level", "error, warn, info, debug, trace"),
];

const fn key(path: &'static str, allowed: &'static str) -> Key {
    Key { path, allowed }
}

/// What is allowed for a key; `None` where there is no such key.
pub fn allowed(path: &str) -> Option<&'static str> {
    KEYS.iter()
        .find(|key| key.path == path)
        .map(|key| key.allowed)
}

/// The keys beside a key, in the same table.
pub fn siblings(path: &str) -> impl Iterator<Item = &'static str> {
    let parent = parent(path).to_owned();
    KEYS.iter()
        .map(|key| key.path)
        .filter(move |path| self::parent(path) == parent && !path.ends_with("[]"))
        .map(|path| path.rsplit('.').next().unwrap_or(path))
}

/// All keys that hold a value, for the reference in the documents.
pub fn all() -> impl Iterator<Item = &'static str> {
    KEYS.iter().map(|key| key.path)
}

fn parent(path: &str) -> &str {
    path.rsplit_once('.').map_or("", |(parent, _)| parent)
}

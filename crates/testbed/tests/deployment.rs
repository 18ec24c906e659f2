//! A small deployment as separate processes: conversations, a killed node and a planned stop.

use std::path::Path;
use std::time::Duration;

use ridgeworks_api::caller::{CallOutcome, RunHistoryResponse};
use ridgeworks_domain::ServiceName;
use ridgeworks_testbed::client::{CallFailure, CallerClient, ClientSettings, RunClient};
use ridgeworks_testbed::cluster::{
    Binaries, Cluster, ClusterOptions, DataFolder, PresetName, RelayUse,
};
use ridgeworks_testbed::cluster_command::WorkingFolder;
use ridgeworks_testbed::conversation::{Conversation, Observer, Script, carry_out};
use serde_json::Value;

const STOP_TIMEOUT: Duration = Duration::from_secs(20);

fn start(folder: &WorkingFolder) -> Cluster {
    let testbed = Path::new(env!("CARGO_BIN_EXE_ridgeworks-testbed"));
    let programs = testbed.parent().expect("a folder");
    let binaries = Binaries::in_folder(programs).expect("`make test` builds the node first");
    Cluster::start(ClusterOptions {
        preset: PresetName::KalahariSmall.load().expect("the preset loads"),
        binaries,
        folder: folder.path().to_owned(),
        relay: RelayUse::BetweenZones,
        history: false,
    })
    .expect("the deployment starts")
}

fn client(cluster: &Cluster, conversation: &Conversation) -> CallerClient {
    let token = cluster.token_of(&conversation.partner).expect("a partner");
    CallerClient::new(ClientSettings::new(cluster.node_addresses(), &token.token))
}

/// Checks the histories of a conversation and counts its calls.
#[derive(Default)]
struct Checker {
    text: String,
    calls: usize,
    recorded: usize,
}

impl Observer for Checker {
    fn opened(&mut self, run: &RunClient<'_>, _: usize) {
        assert!(run.budget().0 > 0);
    }

    fn asked(&mut self, _: &ServiceName, _: &str) {
        self.text.clear();
    }

    fn text(&mut self, piece: &str) {
        self.text.push_str(piece);
    }

    fn called(&mut self, _: &ServiceName, _: &Value) {}

    fn result(&mut self, _: &str) {}

    fn ended(&mut self, _: Duration, failure: Option<&CallFailure>) {
        assert_eq!(failure, None);
        self.calls += 1;
    }

    fn history(&mut self, history: &RunHistoryResponse, _: usize) {
        for (index, call) in history.calls.iter().enumerate() {
            assert_eq!(call.sequence.0, index as u64 + 1);
            assert_eq!(call.outcome, CallOutcome::Finished);
        }
        assert!(history.spent <= history.budget);
        self.recorded += history.calls.len();
    }
}

fn converse(cluster: &Cluster, conversation: &Conversation) {
    let mut checker = Checker::default();
    let client = client(cluster, conversation);
    carry_out(&client, conversation, &mut checker).expect("every request has an answer");
    assert!(checker.text.starts_with("answer to "));
    assert!(checker.calls > 0);
    assert_eq!(checker.calls, checker.recorded);
}

#[test]
fn conversations_go_on_while_a_node_is_killed_and_replaced() {
    let folder = WorkingFolder::make(None).expect("a folder");
    let mut cluster = start(&folder);
    let script = Script::demo().expect("the script loads");
    converse(&cluster, &script.conversations[0]);

    let without_disk = cluster.nodes().find(|node| node.data_folder.is_none());
    let name = without_disk.expect("a node without a disk").name.clone();
    cluster.kill(&name).expect("the node is killed");
    assert!(!cluster.is_running(&name));
    converse(&cluster, &script.conversations[1]);

    cluster
        .start_again(&name, DataFolder::Keep)
        .expect("the node starts again");
    cluster.wait_until_ready().expect("every node is ready");
    converse(&cluster, &script.conversations[0]);
    cluster
        .shut_down(STOP_TIMEOUT)
        .expect("every node stops as planned");
}

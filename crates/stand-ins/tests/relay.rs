//! The relay: forwarding, cuts in one and both directions, delays and resets.

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use ridgeworks_stand_ins::relay::{Forward, Relay, RelayOptions};
use serde_json::{Value, json};
use support::{eventually, get, get_json, post};

/// How long a direction that is cut is watched for bytes that should not come.
const SILENCE: Duration = Duration::from_millis(60);

const PATIENCE: Duration = Duration::from_secs(5);

struct Fixture {
    relay: Relay,
    entrance: SocketAddr,
}

impl Fixture {
    fn start(target: SocketAddr) -> Self {
        let mut options = RelayOptions::local("relay");
        let forward: Forward = format!("a-b@127.0.0.1:0={target}").parse().unwrap();
        options.forwards.push(forward);
        let relay = Relay::start(options).unwrap();
        let listen = get_json(relay.address(), "/links/a-b")["listen"].clone();
        let entrance = listen.as_str().unwrap().parse().unwrap();
        Self { relay, entrance }
    }

    fn set(&self, body: &Value) {
        assert_eq!(post(self.relay.address(), "/links/a-b", body).status, 200);
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.entrance).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream
    }

    fn connections(&self) -> u64 {
        get_json(self.relay.address(), "/links/a-b")["connections"]
            .as_u64()
            .unwrap()
    }
}

/// A server that sends back what it gets.
fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            stream.set_nodelay(true).unwrap();
            thread::spawn(move || std::io::copy(&mut stream.try_clone().unwrap(), &mut stream));
        }
    });
    address
}

/// A connection through the relay with the ends of both sides.
fn both_ends(listener: &TcpListener, fixture: &Fixture) -> (TcpStream, TcpStream) {
    let client = fixture.connect();
    let (server, _) = listener.accept().unwrap();
    server.set_read_timeout(Some(PATIENCE)).unwrap();
    (client, server)
}

fn receives(stream: &mut TcpStream, expected: &[u8]) {
    let mut bytes = vec![0; expected.len()];
    stream.read_exact(&mut bytes).unwrap();
    assert_eq!(bytes, expected);
}

fn is_silent(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(SILENCE)).unwrap();
    let result = stream.read(&mut [0]);
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    result.is_err_and(|error| matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
}

#[test]
fn cut_holds_bytes_without_closing_and_healing_delivers_them_in_order() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let fixture = Fixture::start(listener.local_addr().unwrap());
    let (mut client, mut server) = both_ends(&listener, &fixture);
    client.write_all(b"before ").unwrap();
    receives(&mut server, b"before ");
    fixture.set(&json!({"state": "cut"}));
    client.write_all(b"during ").unwrap();
    server.write_all(b"answer").unwrap();
    assert!(is_silent(&mut server) && is_silent(&mut client));
    fixture.set(&json!({"state": "up"}));
    client.write_all(b"after").unwrap();
    receives(&mut server, b"during after");
    receives(&mut client, b"answer");
    drop(client);
    assert_eq!(server.read(&mut [0]).unwrap(), 0, "an end passes on");
}

#[test]
fn one_way_cuts_leave_the_other_direction_open() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let fixture = Fixture::start(listener.local_addr().unwrap());
    let (mut client, mut server) = both_ends(&listener, &fixture);
    for (state, to_target) in [("cut_to_target", true), ("cut_from_target", false)] {
        fixture.set(&json!({"state": state}));
        client.write_all(b"there").unwrap();
        server.write_all(b"back").unwrap();
        if to_target {
            receives(&mut client, b"back");
            assert!(is_silent(&mut server));
        } else {
            receives(&mut server, b"there");
            assert!(is_silent(&mut client));
        }
        fixture.set(&json!({"state": "up"}));
        if to_target {
            receives(&mut server, b"there");
        } else {
            receives(&mut client, b"back");
        }
    }
}

#[test]
fn new_connections_hang_while_the_link_is_cut_in_any_direction() {
    let fixture = Fixture::start(echo_server());
    for state in ["cut", "cut_to_target", "cut_from_target"] {
        fixture.set(&json!({"state": state}));
        let mut client = fixture.connect();
        client.write_all(b"hello").unwrap();
        assert!(is_silent(&mut client));
        assert_eq!(fixture.connections(), 0, "the target sees no connection");
        fixture.set(&json!({"state": "up"}));
        receives(&mut client, b"hello");
        drop(client);
        eventually("the connection ends", || fixture.connections() == 0);
    }
}

#[test]
fn end_of_a_side_does_not_pass_a_cut() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let fixture = Fixture::start(listener.local_addr().unwrap());
    let (client, mut server) = both_ends(&listener, &fixture);
    fixture.set(&json!({"state": "cut"}));
    drop(client);
    assert!(is_silent(&mut server));
    fixture.set(&json!({"state": "up"}));
    assert_eq!(server.read(&mut [0]).unwrap(), 0);
}

#[test]
fn delays_are_exact_and_settable_by_direction() {
    let fixture = Fixture::start(echo_server());
    let mut client = fixture.connect();
    let mut shortest = |there: u64, back: u64| {
        fixture.set(&json!({"delay_us": there, "delay_back_us": back}));
        let mut round_trip = || {
            let begun = Instant::now();
            client.write_all(b"ping").unwrap();
            receives(&mut client, b"ping");
            begun.elapsed()
        };
        (0..40).map(|_| round_trip()).min().unwrap()
    };
    let plain = shortest(0, 0);
    for (there, back) in [(1_200, 1_200), (500, 4_000)] {
        let delayed = shortest(there, back);
        let asked = Duration::from_micros(there + back);
        let off_by = delayed.saturating_sub(plain).abs_diff(asked);
        assert!(
            off_by < Duration::from_micros(400),
            "{delayed:?} for {asked:?} above {plain:?}"
        );
    }
}

#[test]
fn delay_does_not_limit_throughput() {
    const BYTES: usize = 16 << 20;
    let fixture = Fixture::start(echo_server());
    fixture.set(&json!({"delay_us": 20_000, "delay_back_us": 20_000}));
    let mut client = fixture.connect();
    let mut writer = client.try_clone().unwrap();
    let begun = Instant::now();
    let writing = thread::spawn(move || writer.write_all(&vec![7; BYTES]).unwrap());
    let mut bytes = vec![0; BYTES];
    client.read_exact(&mut bytes).unwrap();
    writing.join().unwrap();
    assert!(bytes.iter().all(|byte| *byte == 7));
    // One piece of 16 KiB a round trip would take 41 s.
    assert!(
        begun.elapsed() < Duration::from_secs(4),
        "{:?}",
        begun.elapsed()
    );
}

#[test]
fn hundreds_of_connections_pass_at_once() {
    let fixture = Fixture::start(echo_server());
    let mut clients: Vec<TcpStream> = (0..300).map(|_| fixture.connect()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.write_all(&(number as u32).to_le_bytes()).unwrap();
    }
    for (number, client) in clients.iter_mut().enumerate() {
        receives(client, &(number as u32).to_le_bytes());
    }
    assert_eq!(fixture.connections(), 300);
    drop(clients);
    eventually("all connections end", || fixture.connections() == 0);
}

#[test]
fn reset_ends_open_connections_and_links_can_be_added() {
    let target = echo_server();
    let fixture = Fixture::start(target);
    let mut client = fixture.connect();
    client.write_all(b"x").unwrap();
    receives(&mut client, b"x");
    assert_eq!(
        post(fixture.relay.address(), "/links/a-b/reset", &json!({})).status,
        200
    );
    assert!(client.read(&mut [0]).map_or(true, |length| length == 0));
    eventually("the connection is gone", || fixture.connections() == 0);

    let forward = json!({"name": "b-a", "listen": "127.0.0.1:0", "target": target.to_string()});
    let added = post(fixture.relay.address(), "/forwards", &forward);
    let entrance: SocketAddr = added.json()["listen"].as_str().unwrap().parse().unwrap();
    let mut client = TcpStream::connect(entrance).unwrap();
    client.write_all(b"y").unwrap();
    receives(&mut client, b"y");
    assert_eq!(
        post(fixture.relay.address(), "/forwards", &forward).status,
        503
    );
    assert_eq!(
        get(fixture.relay.address(), "/links/none").error(),
        "not_found"
    );
    let wrong = post(
        fixture.relay.address(),
        "/links/a-b",
        &json!({"state": "broken"}),
    );
    assert_eq!(wrong.error(), "invalid_request");
}

#[test]
fn connection_is_reset_when_the_target_is_not_there() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let fixture = Fixture::start(listener.local_addr().unwrap());
    drop(listener);
    let mut client = fixture.connect();
    assert!(client.read(&mut [0]).map_or(true, |length| length == 0));
}

//! Kinds of messages that one of two nodes does not know, and messages that one cannot read.
//!
//! A message that could not be read ended the connection, and with it every request that waited for its answer there.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use ridgeworks_resident::peer::{
    Build, Datagram, Envelope, ExtensionDatagram, ExtensionReply, ExtensionRequest, LinkError,
    MessageKind, PeerLinks, PeerReply, PeerRequest, PeerService, decode, encode, frame,
    frame_number, serve, unframe,
};
use support::{free_address, run};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

const TIMEOUT: Duration = Duration::from_secs(2);
/// No version sends this kind.
const FOREIGN: u16 = 65_000;

fn build() -> Build {
    Build {
        commit: "c0ffee".to_owned(),
        protocol: 1,
        disk: 0,
    }
}

/// Knows one later kind.
struct Known;

impl PeerService for Known {
    fn on_request(&self, request: PeerRequest, reply: oneshot::Sender<PeerReply>) {
        let answer = match request {
            PeerRequest::ListMembers => PeerReply::Members(Vec::new()),
            PeerRequest::Extension(ExtensionRequest::FetchBuild) => {
                PeerReply::Extension(ExtensionReply::Build(build()))
            }
            _ => PeerReply::Unsupported,
        };
        // Whoever asked may be gone.
        let _ = reply.send(answer);
    }
}

async fn node() -> SocketAddr {
    let address = free_address();
    serve(address, Rc::new(Known)).await.expect("a free port");
    address
}

async fn connect(node: SocketAddr) -> Framed<TcpStream, LengthDelimitedCodec> {
    let stream = TcpStream::connect(node).await.expect("the node listens");
    Framed::new(stream, LengthDelimitedCodec::new())
}

fn request(number: u64, body: PeerRequest) -> Bytes {
    encode(&Envelope { number, body }).expect("small")
}

fn reply(number: u64, body: PeerReply) -> Bytes {
    encode(&Envelope { number, body }).expect("small")
}

/// The same frame with another kind of message beside its body.
fn foreign(kind: MessageKind, harmless: &[u8]) -> Bytes {
    let parts = unframe(harmless).expect("whole").expect("framed");
    let sections = [(FOREIGN, vec![1, 2, 3])];
    Bytes::from(frame(kind as u16, parts.number, &sections, parts.body))
}

/// A frame whose body is no message.
fn unreadable(kind: MessageKind, number: u64) -> Bytes {
    Bytes::from(frame(kind as u16, number, &[], &[0xff; 24]))
}

#[test]
fn a_later_request_is_answered_where_it_is_known() {
    run(async {
        let node = node().await;
        let links = PeerLinks::default();
        let request = PeerRequest::Extension(ExtensionRequest::FetchBuild);
        let answer = links.call(node, request, TIMEOUT).await;
        let expected = PeerReply::Extension(ExtensionReply::Build(build()));
        assert_eq!(answer, Ok(expected));
    });
}

/// What a node of the first protocol version reads is the body alone.
#[test]
fn a_later_message_stands_beside_a_body_that_does_no_harm() {
    let bytes = request(7, PeerRequest::Extension(ExtensionRequest::FetchBuild));
    let parts = unframe(&bytes).expect("whole").expect("framed");
    let body: Envelope<PeerRequest> = decode(parts.body).expect("a message of the first version");
    assert_eq!(body.body, PeerRequest::ListMembers);
    assert_eq!(body.number, 7);
    let bytes = reply(7, PeerReply::Extension(ExtensionReply::Build(build())));
    let parts = unframe(&bytes).expect("whole").expect("framed");
    let body: Envelope<PeerReply> = decode(parts.body).expect("a message of the first version");
    assert_eq!(body.body, PeerReply::Unsupported);
}

#[test]
fn a_request_that_is_not_known_or_unreadable_is_answered_so_and_others_go_on() {
    run(async {
        let mut connection = connect(node().await).await;
        let unknown = foreign(MessageKind::Request, &request(1, PeerRequest::ListMembers));
        for frame in [
            unknown,
            unreadable(MessageKind::Request, 2),
            unreadable(MessageKind::Reply, 3),
            request(4, PeerRequest::ListMembers),
        ] {
            connection.send(frame).await.expect("an open connection");
        }
        let mut answers = Vec::new();
        for _ in 0..4 {
            let frame = connection.next().await.expect("an open connection");
            let frame = frame.expect("a frame");
            let answer: Envelope<PeerReply> = decode(&frame).expect("a reply");
            answers.push((answer.number, answer.body));
        }
        answers.sort_by_key(|(number, _)| *number);
        let expected = [
            (1, PeerReply::Unsupported),
            (2, PeerReply::Unsupported),
            (3, PeerReply::Unsupported),
            (4, PeerReply::Members(Vec::new())),
        ];
        assert_eq!(answers, expected);
    });
}

/// Answers the first request with bytes that cannot be read, and the others well, all at the end.
async fn answer_badly_once(listener: TcpListener, requests: usize) {
    let (stream, _) = listener.accept().await.expect("a link");
    let mut connection = Framed::new(stream, LengthDelimitedCodec::new());
    let mut numbers = Vec::new();
    while numbers.len() < requests {
        let frame = connection.next().await.expect("an open link");
        let frame = frame.expect("a frame");
        numbers.extend(frame_number(&frame));
    }
    for (place, number) in numbers.into_iter().enumerate() {
        let frame = match place {
            0 => unreadable(MessageKind::Reply, number),
            _ => reply(number, PeerReply::Members(Vec::new())),
        };
        connection.send(frame).await.expect("an open link");
    }
    // Open until whoever asked has closed it.
    while connection.next().await.is_some() {}
}

#[test]
fn a_reply_that_cannot_be_read_fails_its_request_alone() {
    run(async {
        let node = free_address();
        let listener = TcpListener::bind(node).await.expect("a free port");
        tokio::task::spawn_local(answer_badly_once(listener, 3));
        let links = PeerLinks::default();
        let ask = || links.call(node, PeerRequest::ListMembers, TIMEOUT);
        let (first, second, third) = tokio::join!(ask(), ask(), ask());
        assert_eq!(first, Err(LinkError::Unreadable));
        assert_eq!(second, Ok(PeerReply::Members(Vec::new())));
        assert_eq!(third, Ok(PeerReply::Members(Vec::new())));
    });
}

#[test]
fn a_datagram_that_is_not_known_is_read_as_such() {
    let harmless = Datagram::FoundPrefill {
        number: 0,
        prefill: None,
    };
    let bytes = foreign(MessageKind::Datagram, &encode(&harmless).expect("small"));
    let read: Datagram = decode(&bytes).expect("a datagram");
    assert_eq!(
        read,
        Datagram::Extension(ExtensionDatagram::Unknown(FOREIGN))
    );
}

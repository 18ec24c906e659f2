//! Extension messages, messages of unknown kinds and messages that can't be decoded.
//!
//! A message that can't be decoded must not close the connection, which would fail all requests in flight there.

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
const UNKNOWN_KIND: u16 = 65_000;

fn build() -> Build {
    Build {
        commit: "c0ffee".to_owned(),
        protocol: 1,
        disk: 0,
    }
}

/// Handles one kind of extension request.
struct ExtensionAware;

impl PeerService for ExtensionAware {
    fn on_request(&self, request: PeerRequest, reply: oneshot::Sender<PeerReply>) {
        let answer = match request {
            PeerRequest::ListMembers => PeerReply::Members(Vec::new()),
            PeerRequest::Extension(ExtensionRequest::FetchBuild) => {
                PeerReply::Extension(ExtensionReply::Build(build()))
            }
            _ => PeerReply::Unsupported,
        };
        // The requester may have given up.
        let _ = reply.send(answer);
    }
}

async fn node() -> SocketAddr {
    let address = free_address();
    serve(address, Rc::new(ExtensionAware))
        .await
        .expect("a free port");
    address
}

async fn connect(node: SocketAddr) -> Framed<TcpStream, LengthDelimitedCodec> {
    let stream = TcpStream::connect(node).await.expect("the node listens");
    Framed::new(stream, LengthDelimitedCodec::new())
}

fn request(number: u64, body: PeerRequest) -> Bytes {
    encode(&Envelope { number, body }).expect("a message that can be encoded")
}

fn reply(number: u64, body: PeerReply) -> Bytes {
    encode(&Envelope { number, body }).expect("a message that can be encoded")
}

/// The same frame with an extension message of an unknown kind beside its body.
fn with_unknown_kind(kind: MessageKind, version_0_body: &[u8]) -> Bytes {
    let parts = unframe(version_0_body)
        .expect("a valid frame")
        .expect("a frame");
    let sections = [(UNKNOWN_KIND, vec![1, 2, 3])];
    Bytes::from(frame(kind as u16, parts.number, &sections, parts.body))
}

/// A frame whose body can't be decoded.
fn unreadable_frame(kind: MessageKind, number: u64) -> Bytes {
    Bytes::from(frame(kind as u16, number, &[], &[0xff; 24]))
}

#[test]
fn a_known_extension_request_is_answered() {
    run(async {
        let node = node().await;
        let links = PeerLinks::default();
        let request = PeerRequest::Extension(ExtensionRequest::FetchBuild);
        let answer = links.call(node, request, TIMEOUT).await;
        let expected = PeerReply::Extension(ExtensionReply::Build(build()));
        assert_eq!(answer, Ok(expected));
    });
}

/// A node of protocol version 0 reads only the body.
#[test]
fn an_extension_message_has_a_harmless_body_for_version_0() {
    let bytes = request(7, PeerRequest::Extension(ExtensionRequest::FetchBuild));
    let parts = unframe(&bytes).expect("a valid frame").expect("a frame");
    let body: Envelope<PeerRequest> = decode(parts.body).expect("a version 0 message");
    assert_eq!(body.body, PeerRequest::ListMembers);
    assert_eq!(body.number, 7);
    let bytes = reply(7, PeerReply::Extension(ExtensionReply::Build(build())));
    let parts = unframe(&bytes).expect("a valid frame").expect("a frame");
    let body: Envelope<PeerReply> = decode(parts.body).expect("a version 0 message");
    assert_eq!(body.body, PeerReply::Unsupported);
}

#[test]
fn unknown_and_unreadable_requests_are_unsupported_and_others_succeed() {
    run(async {
        let mut connection = connect(node().await).await;
        let unknown =
            with_unknown_kind(MessageKind::Request, &request(1, PeerRequest::ListMembers));
        for frame in [
            unknown,
            unreadable_frame(MessageKind::Request, 2),
            unreadable_frame(MessageKind::Reply, 3),
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

/// Receives all requests, then answers the first with an undecodable reply and the others correctly.
async fn reply_unreadably_once(listener: TcpListener, requests: usize) {
    let (stream, _) = listener.accept().await.expect("a link");
    let mut connection = Framed::new(stream, LengthDelimitedCodec::new());
    let mut numbers = Vec::new();
    while numbers.len() < requests {
        let frame = connection.next().await.expect("an open link");
        let frame = frame.expect("a frame");
        numbers.extend(frame_number(&frame));
    }
    for (index, number) in numbers.into_iter().enumerate() {
        let frame = match index {
            0 => unreadable_frame(MessageKind::Reply, number),
            _ => reply(number, PeerReply::Members(Vec::new())),
        };
        connection.send(frame).await.expect("an open link");
    }
    // Keep the connection open until the requester closes it.
    while connection.next().await.is_some() {}
}

#[test]
fn an_unreadable_reply_fails_only_its_request() {
    run(async {
        let node = free_address();
        let listener = TcpListener::bind(node).await.expect("a free port");
        tokio::task::spawn_local(reply_unreadably_once(listener, 3));
        let links = PeerLinks::default();
        let ask = || links.call(node, PeerRequest::ListMembers, TIMEOUT);
        let (first, second, third) = tokio::join!(ask(), ask(), ask());
        assert_eq!(first, Err(LinkError::Unreadable));
        assert_eq!(second, Ok(PeerReply::Members(Vec::new())));
        assert_eq!(third, Ok(PeerReply::Members(Vec::new())));
    });
}

#[test]
fn a_datagram_of_an_unknown_kind_decodes_as_unknown() {
    let version_0_body = Datagram::FoundRead {
        number: 0,
        read: None,
    };
    let bytes = with_unknown_kind(
        MessageKind::Datagram,
        &encode(&version_0_body).expect("a message that can be encoded"),
    );
    let read: Datagram = decode(&bytes).expect("a datagram");
    assert_eq!(
        read,
        Datagram::Extension(ExtensionDatagram::Unknown(UNKNOWN_KIND))
    );
}

//! A zone drain that starts while a connection to one of its engines is being opened.

mod support;

use std::collections::BTreeMap;
use std::future::poll_fn;
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::task::Poll;

use ridgeworks_gateway::metrics::ZoneServiceLabel;
use ridgeworks_gateway::{Gateway, StopPhase, listen};
use ridgeworks_resident::view::Source;
use ridgeworks_routing::{Engine, EngineEntry, EngineState, ZoneDrains};
use support::{configuration, gateway, run};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;

const ZONE: &str = "zone-a";
const CLIENT_ADDRESS: &str = "127.77.2.1:27391";
const REQUEST: &[u8] =
    b"GET /tools/x HTTP/1.1\r\nhost: app.example\r\nridgeworks-request-id: r-1\r\n\
    ridgeworks-deadline-ms: 1000\r\n\r\n";

fn engine(address: SocketAddr) -> Engine {
    Engine {
        instance: "i-1".to_owned(),
        born_ms: 0,
        service: "tools".to_owned(),
        address,
        zone: ZONE.to_owned(),
        slots: 4,
        state: EngineState::Ready,
        warm_up_ms: 0,
        software: "v1".to_owned(),
    }
}

fn drains(zones: &[&str], at: u64) -> ZoneDrains {
    let orders = zones.iter().map(|zone| ((*zone).to_owned(), at));
    ZoneDrains::listed(orders.collect::<BTreeMap<_, _>>(), at)
}

/// Polls for a connection without yielding to the runtime's I/O driver, so that the gateway has not
/// noticed yet that it is connected.
async fn accept_without_yielding(listener: &TcpListener) -> TcpStream {
    poll_fn(|context| match listener.accept() {
        Ok((stream, _)) => Poll::Ready(stream),
        Err(error) => {
            assert_eq!(error.kind(), ErrorKind::WouldBlock);
            context.waker().wake_by_ref();
            Poll::Pending
        }
    })
    .await
}

async fn first_response_line(address: &str) -> String {
    let mut client = tokio::net::TcpStream::connect(address)
        .await
        .expect("a gateway");
    client.write_all(REQUEST).await.expect("a request");
    let mut response = vec![0; 512];
    let length = client.read(&mut response).await.expect("a response");
    let response = String::from_utf8_lossy(&response[..length]).into_owned();
    response.lines().next().unwrap_or_default().to_owned()
}

async fn start_gateway(engine: Engine, phase: watch::Receiver<StopPhase>) -> Rc<Gateway> {
    let gateway = gateway("127.77.2.1", "zone_drain_ms = 5000").await;
    let view = &gateway.node.view;
    view.adopt_configuration(configuration(1, &["tools"]), Source::Store);
    let entry = EngineEntry {
        engine,
        revision: 1,
    };
    view.adopt_engines(vec![entry], 1, Source::Store);
    view.adopt_drains(drains(&[], 1), Source::Store);
    let address = CLIENT_ADDRESS.parse().expect("an address");
    listen(Rc::clone(&gateway), address, phase)
        .await
        .expect("a free port");
    gateway
}

#[test]
fn zone_drain_during_connect_withholds_the_request() {
    run(async {
        let listener = TcpListener::bind("127.77.2.2:0").expect("a free port");
        listener
            .set_nonblocking(true)
            .expect("a listener can be polled");
        let engine = engine(listener.local_addr().expect("a bound listener"));
        let (_stop, phase) = watch::channel(StopPhase::Serving);
        let gateway = start_gateway(engine.clone(), phase).await;
        let client = tokio::task::spawn_local(first_response_line(CLIENT_ADDRESS));
        let mut connection = accept_without_yielding(&listener).await;
        gateway
            .node
            .view
            .adopt_drains(drains(&[ZONE], 2), Source::Store);
        let response = client.await.expect("a client");
        assert_eq!(response, "HTTP/1.1 503 Service Unavailable");
        connection
            .set_nonblocking(true)
            .expect("a socket can be polled");
        let nothing = connection.read(&mut [0; 1]).map_err(|error| error.kind());
        assert_eq!(nothing, Err(ErrorKind::WouldBlock), "bytes were sent");
        let label = ZoneServiceLabel::of(&engine);
        assert_eq!(gateway.metrics.withheld.get_or_create(&label).get(), 1);
    });
}

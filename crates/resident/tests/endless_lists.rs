//! Lists that never come to their end.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use ridgeworks_platform::{Object, ObjectKind};
use ridgeworks_resident::store_client::StoreClient;
use ridgeworks_resident::store_watch::list_once;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};

const TIMEOUT: Duration = Duration::from_secs(15);

type Page = fn(u64) -> String;

async fn serve(listener: TcpListener, page: Page, pages: Arc<AtomicU64>) {
    while let Ok((stream, _)) = listener.accept().await {
        let pages = Arc::clone(&pages);
        let service = service_fn(move |_: Request<Incoming>| {
            let number = pages.fetch_add(1, Ordering::Relaxed);
            let body = Full::new(Bytes::from(page(number)));
            std::future::ready(Ok::<_, Infallible>(Response::new(body)))
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        spawn_local(async move {
            // The client may close at any time.
            let _ = connection.await;
        });
    }
}

/// Lists from a store whose pages are these, by number from 0. Returns the list and how many pages were asked for.
fn list_of(page: Page) -> (Option<Vec<Object>>, u64) {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let pages = Arc::<AtomicU64>::default();
    let listing = async {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        let listener = listener.await.expect("a port");
        let address = listener.local_addr().expect("an address");
        spawn_local(serve(listener, page, Arc::clone(&pages)));
        let store = StoreClient::new(address);
        let listing = tokio::time::timeout(TIMEOUT, list_once(&store, ObjectKind::Engines));
        listing.await.expect("a list that ends")
    };
    let listed = LocalSet::new().block_on(&runtime, listing);
    (listed, pages.load(Ordering::Relaxed))
}

fn page(names: &[String], spec: &str) -> String {
    let items = names.iter();
    let items = items.map(|name| json!({"metadata": {"name": name}, "spec": spec}));
    let items: Vec<_> = items.collect();
    json!({"items": items, "more": true, "at": 9}).to_string()
}

/// The same page came without end, and the list grew until the memory was spent.
#[test]
fn a_list_whose_pages_repeat_fails() {
    let (listed, pages) = list_of(|_| page(&["a".to_owned(), "b".to_owned()], ""));
    assert_eq!(listed, None);
    assert!(pages <= 2, "{pages}");
    let (listed, pages) = list_of(|number| page(&[format!("{}", number % 3)], ""));
    assert_eq!(listed, None);
    assert!(pages <= 4, "{pages}");
}

/// A list that ended with an empty page passed for whole, although there was more.
#[test]
fn a_list_with_an_empty_page_before_its_end_fails() {
    let (listed, pages) = list_of(|_| page(&[], ""));
    assert_eq!((listed, pages), (None, 1));
}

/// New names came without end, and the list grew until the memory was spent.
#[test]
fn a_list_without_end_fails_before_it_holds_too_much() {
    let (listed, pages) = list_of(|number| page(&[format!("{number}")], &"x".repeat(1 << 20)));
    assert_eq!(listed, None);
    assert!(pages <= 64, "{pages}");
}

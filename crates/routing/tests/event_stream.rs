//! Splitting of event streams.

use quickcheck::quickcheck;
use ridgeworks_routing::EventSplitter;

const STREAM: &str = "id: 1\ndata: a\n\n: comment\n\nid:2\r\ndata: b\r\ndata: c\r\n\r\nversions: 3\nid: 3\ndata:\n\n";

fn split_in_chunks(chunks: &[usize]) -> (Vec<u8>, Vec<Option<u64>>, Vec<Option<String>>) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    let mut rest = STREAM.as_bytes();
    for chunk in chunks.iter().copied().chain([usize::MAX]) {
        let (now, later) = rest.split_at(chunk.min(rest.len()));
        events.extend(splitter.push(now).expect("no event is too long"));
        rest = later;
    }
    let raw = events.iter().flat_map(|event| event.raw.clone()).collect();
    let ids = events.iter().map(|event| event.id).collect();
    let data = events.into_iter().map(|event| {
        event
            .data
            .map(|data| String::from_utf8(data).expect("text"))
    });
    (raw, ids, data.collect())
}

#[test]
fn events_have_their_ids_and_data() {
    let (raw, ids, data) = split_in_chunks(&[]);
    assert_eq!(raw, STREAM.as_bytes());
    assert_eq!(ids, [Some(1), None, Some(2), Some(3)]);
    let data: Vec<Option<&str>> = data.iter().map(Option::as_deref).collect();
    assert_eq!(data, [Some("a"), None, Some("b\nc"), Some("")]);
}

quickcheck! {
    fn events_do_not_depend_on_the_chunks(chunks: Vec<u8>) -> bool {
        let chunks: Vec<usize> = chunks.into_iter().map(usize::from).collect();
        split_in_chunks(&chunks) == split_in_chunks(&[])
    }
}

#[test]
fn an_incomplete_event_is_buffered() {
    let mut splitter = EventSplitter::default();
    assert!(splitter.push(b"id: 1\ndata").expect("short").is_empty());
    assert_eq!(splitter.rest(), b"id: 1\ndata");
}

#[test]
fn an_event_over_the_maximum_length_is_an_error() {
    let mut splitter = EventSplitter::default();
    let result = (0..40).find_map(|_| splitter.push(&[b'x'; 64 * 1024]).err());
    assert!(result.is_some());
}

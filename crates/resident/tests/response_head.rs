//! What a response's head tells of its body.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use quickcheck::quickcheck;
use ridgeworks_resident::response_head::{BodyFraming, HeadFault, check, is_in_chunks};

fn headers(fields: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        let value = HeaderValue::from_static(value);
        headers.append(HeaderName::from_static(name), value);
    }
    headers
}

fn framing(fields: &[(&'static str, &'static str)]) -> Result<BodyFraming, HeadFault> {
    check(StatusCode::OK, &headers(fields))
}

#[test]
fn one_length_or_chunks_alone_or_nothing_is_a_framing() {
    let cases: [(&[_], _); 4] = [
        (&[], BodyFraming::UntilClose),
        (&[("content-length", "0")], BodyFraming::Length),
        (&[("transfer-encoding", "Chunked")], BodyFraming::Chunked),
        (
            &[("content-type", "a"), ("content-length", "17")],
            BodyFraming::Length,
        ),
    ];
    for (fields, expected) in cases {
        assert_eq!(framing(fields).expect("a framing"), expected);
    }
}

#[test]
fn a_head_that_can_be_read_in_two_ways_is_a_fault() {
    let two_lengths = framing(&[("content-length", "1"), ("content-length", "1")]);
    assert!(matches!(two_lengths, Err(HeadFault::Length)));
    let both = framing(&[("transfer-encoding", "chunked"), ("content-length", "1")]);
    assert!(matches!(both, Err(HeadFault::CodingAndLength)));
    for coding in ["", "identity", "gzip, chunked", "chunked, chunked"] {
        let other = framing(&[("transfer-encoding", coding)]);
        assert!(matches!(other, Err(HeadFault::TransferCoding)), "{coding}");
    }
    for length in ["", "1, 1", "+1", "0x1", "1 1"] {
        let none = framing(&[("content-length", length)]);
        assert!(matches!(none, Err(HeadFault::Length)), "{length}");
    }
}

#[test]
fn only_statuses_of_final_responses_are_taken() {
    for code in [100, 101, 199, 600, 999] {
        let status = StatusCode::from_u16(code).expect("a status");
        let fault = check(status, &HeaderMap::new());
        assert!(matches!(fault, Err(HeadFault::Status(_))), "{code}");
    }
}

#[test]
fn a_body_that_begins_with_a_whole_or_cut_chunk_is_in_chunks() {
    let is_chunked = |body: &[u8]| is_in_chunks(body.iter().copied());
    assert!(is_chunked(b"3\r\nabc\r\n0\r\n\r\n"));
    assert!(is_chunked(b"0\r\n\r\n"));
    assert!(is_chunked(b"1F\r\ncut"));
    assert!(!is_chunked(b"3\r\nabcd\r\n"));
    assert!(!is_chunked(b""));
    assert!(!is_chunked(b"abc"));
    assert!(!is_chunked(b"3\nabc\n"));
    assert!(!is_chunked(b"123456789\r\n"));
    assert!(!is_chunked(b"id: 1\r\n"));
}

quickcheck! {
    fn any_body_in_chunks_is_found(body: Vec<u8>) -> bool {
        let mut chunks = format!("{:x}\r\n", body.len()).into_bytes();
        chunks.extend(body);
        chunks.extend(b"\r\n0\r\n\r\n");
        is_in_chunks(chunks.into_iter())
    }
}

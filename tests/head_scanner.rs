//! What the pipeline of a connection learns of a head that arrives in any pieces.

use edge_node::net::downstream::pipeline::{LengthHeader, Pipeline};

/// Returns what the pipeline reports of the length header of a head that arrives in two pieces.
fn length_header_of(first: &[u8], second: &[u8]) -> LengthHeader {
    let mut pipeline = Pipeline::new();
    pipeline.bytes_received(first);
    pipeline.bytes_received(second);
    pipeline.request_started(Some(0))
}

/// Guards against a chunked body with a `Content-Length` that is overlooked: it may hide another request.
#[test]
fn length_header_is_found_wherever_the_head_is_split() {
    let heads = [
        ("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n", LengthHeader::Possible),
        ("\r\n\r\nPOST / HTTP/1.1\r\nHost: n0\r\ncOnTeNt-LeNgTh:5\r\n\r\n", LengthHeader::Possible),
        ("POST / HTTP/1.1\nA: b\ncontent-length: 5\n\n", LengthHeader::Possible),
        ("POST / HTTP/1.1\r\nX-Content-Length: 5\r\n\r\n", LengthHeader::Absent),
        ("POST / HTTP/1.1\r\nX-Note: content-length: 5\r\n\r\n", LengthHeader::Absent),
        ("POST / HTTP/1.1\r\nContent-Lengths: 5\r\n\r\n", LengthHeader::Absent),
        ("POST / HTTP/1.1\r\nContent-\r\nLength: 5\r\n\r\n", LengthHeader::Absent),
    ];
    for (head, expected) in heads {
        for split in 0..=head.len() {
            let (first, second) = head.as_bytes().split_at(split);
            assert_eq!(length_header_of(first, second), expected, "{head:?} split at {split}");
        }
    }
}

#[test]
fn head_without_an_end_may_have_a_length_header() {
    assert_eq!(length_header_of(b"POST / HTTP/1.1\r\n", b"Host: n0\r\n"), LengthHeader::Possible);
}

#[test]
fn bytes_of_several_requests_in_one_piece_are_assigned_to_each() {
    let mut pipeline = Pipeline::new();
    pipeline.bytes_received(
        b"POST /1 HTTP/1.1\r\nContent-Length: 5\r\n\r\nslip!GET /2 HTTP/1.1\r\n\r\nPOST /3 HTTP/1.1\r\nContent-Length: 2\r\n\r\nxx??",
    );
    assert_eq!(pipeline.request_started(Some(5)), LengthHeader::Possible);
    assert!(!pipeline.body_may_be_truncated());
    assert_eq!(pipeline.request_started(Some(0)), LengthHeader::Absent);
    assert!(pipeline.has_read_ahead());
    assert_eq!(pipeline.request_started(Some(2)), LengthHeader::Possible);
    assert!(pipeline.body_may_be_truncated(), "the bytes behind the third request begin no request");
}

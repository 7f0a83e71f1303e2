//! How much is read from a client connection at once.

use edge_node::net::downstream::pipeline::Pipeline;

/// The length of a body, in bytes.
const BODY_BYTES: usize = 60_000;
/// How many bytes may be read at once beyond the body of the request in progress.
const READ_AHEAD_BYTES: u64 = 4 * 1024;

/// Guards against many requests at once being held twice by the dozen: in the buffer of their connection and
/// behind the head of the next request.
#[test]
fn no_more_is_read_at_once_than_the_rest_of_the_body_and_a_few_heads() {
    let mut pipeline = Pipeline::new();
    assert_eq!(pipeline.max_read_bytes(), READ_AHEAD_BYTES);
    pipeline.bytes_received(b"POST /p HTTP/1.1\r\nContent-Length: 60000\r\n\r\n");
    pipeline.request_started(Some(BODY_BYTES));
    assert_eq!(pipeline.max_read_bytes(), BODY_BYTES as u64 + READ_AHEAD_BYTES);
    pipeline.bytes_received(&[b'x'; BODY_BYTES]);
    assert_eq!(pipeline.max_read_bytes(), READ_AHEAD_BYTES);
}

#[test]
fn reads_of_a_body_without_a_stated_length_are_not_limited() {
    let mut pipeline = Pipeline::new();
    pipeline.bytes_received(b"POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    pipeline.request_started(None);
    assert_eq!(pipeline.max_read_bytes(), u64::MAX);
}

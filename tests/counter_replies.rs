//! Decoding of the counter's replies by the RESP2 codec.

use bytes::BytesMut;
use edge_node::net::counter::resp::{decode, Reply, ReplyError};

#[test]
fn complete_replies_are_consumed_and_partial_ones_are_left() {
    let mut buffer = BytesMut::from(&b"$3\r\n2.5\r\n-BUSY later\r\n$1\r\n7"[..]);
    assert_eq!(decode(&mut buffer), Ok(Some(Reply::Total(2.5))));
    assert_eq!(decode(&mut buffer), Ok(Some(Reply::Rejected)));
    assert_eq!(decode(&mut buffer), Ok(None));
    buffer.extend_from_slice(b"\r\n");
    assert_eq!(decode(&mut buffer), Ok(Some(Reply::Total(7.0))));
    assert_eq!(decode(&mut BytesMut::from("$")), Ok(None));
}

#[test]
fn malformed_replies_are_errors_as_soon_as_they_are_detectable() {
    let malformed: [(&[u8], ReplyError); 10] = [
        (b"?\r\n", ReplyError::UnknownKind),
        (b"\r\n", ReplyError::UnknownKind),
        (b"$-1\r\n", ReplyError::InvalidLength),
        (b"$3\r\nabc\r\n", ReplyError::InvalidTotal),
        (b"$3\r\nNaN\r\n", ReplyError::InvalidTotal),
        (b"$1\r\n22\r\n", ReplyError::WrongLength),
        (b"$1234", ReplyError::InvalidLength),
        (b"-OOPS", ReplyError::UnknownKind),
        (b"\xff", ReplyError::UnknownKind),
        (b"HTTP", ReplyError::UnknownKind),
    ];
    for (bytes, error) in malformed {
        assert_eq!(decode(&mut BytesMut::from(bytes)), Err(error), "reply {bytes:?}");
    }
}

//! Recognizes responses that may be truncated because their `Content-Length` is too small.
//!
//! Bytes that arrive together with the end of such a response are either the rest of its body or something
//! that does not belong to it. The two cannot be distinguished, except if the bytes are a duplicate of the
//! response: then the response itself is complete.

use crate::net::http_head::head_end;

/// How the head of every HTTP/1 response begins.
const RESPONSE_HEAD_START: &[u8] = b"HTTP/1.";

/// Returns whether `body`, which ends where its `Content-Length` says, may lack its end. `bytes_after` arrived
/// together with the last byte of `body` and lie behind it.
pub fn may_be_truncated(body: &[u8], bytes_after: &[u8]) -> bool {
    !bytes_after.is_empty() && !is_response_with_body(bytes_after, body)
}

/// Returns whether `bytes` are exactly one complete response with this body.
fn is_response_with_body(bytes: &[u8], body: &[u8]) -> bool {
    let Some(head) = bytes.strip_suffix(body) else { return false };
    head.starts_with(RESPONSE_HEAD_START) && head_end(head) == Some(head.len())
}

//! Finds the end of an HTTP/1.1 message head in received bytes.

/// Returns the index of the first byte after a head and its empty line. Returns `None` if the head is
/// incomplete. Line ends may lack the carriage return.
pub fn head_end(bytes: &[u8]) -> Option<usize> {
    let mut line_ends = bytes.iter().enumerate().filter(|(_, &byte)| byte == b'\n').map(|(at, _)| at);
    line_ends.find_map(|at| match &bytes[at + 1..] {
        [b'\n', ..] => Some(at + 2),
        [b'\r', b'\n', ..] => Some(at + 3),
        _ => None,
    })
}

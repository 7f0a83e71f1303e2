//! The counter's protocol: RESP2, of which the client writes one command and reads two kinds of replies.

use std::fmt::Write;

use bytes::{Buf, BytesMut};

use crate::decision::CounterKey;

/// Most bytes in an error reply, and in a total.
const MAX_LINE_BYTES: usize = 512;
const MAX_TOTAL_BYTES: usize = 64;
/// Most digits of a total's length.
const MAX_LENGTH_DIGITS: usize = 3;
const LINE_END: &[u8] = b"\r\n";
/// Error replies begin with one of these words.
const ERROR_WORDS: [&str; 2] = ["BUSY", "ERR"];

/// One call to the counter.
pub(super) struct Increment {
    /// The counter.
    pub(super) key: CounterKey,
    /// Units to add.
    pub(super) amount: f64,
    /// How long the service keeps a counter that this call creates.
    pub(super) keep_ms: u64,
}

/// Appends a call to the buffer.
pub(super) fn encode(buffer: &mut BytesMut, call: &Increment) {
    let key = call.key.0;
    let amount = call.amount.to_string();
    let keep = call.keep_ms.to_string();
    // Writing to a buffer in memory does not fail.
    let _ = write!(
        buffer,
        "*4\r\n$7\r\nINCRTTL\r\n$16\r\n{key:016x}\r\n${}\r\n{amount}\r\n${}\r\n{keep}\r\n",
        amount.len(),
        keep.len(),
    );
}

/// A reply of the counter.
#[derive(Debug, PartialEq)]
pub enum Reply {
    /// Added; the total.
    Total(f64),
    /// Rejected; nothing was added.
    Rejected,
}

/// Why bytes are no reply of a counter.
#[derive(Debug, PartialEq, Eq, Clone, Copy, thiserror::Error)]
pub enum ReplyError {
    /// They begin like no reply that the counter sends.
    #[error("the reply is of an unknown kind")]
    UnknownKind,
    /// The length of a total is no number, or too large.
    #[error("the length of the total is invalid")]
    InvalidLength,
    /// A total does not end where its length says.
    #[error("the total has another length than announced")]
    WrongLength,
    /// A total is no finite number.
    #[error("the total is no finite number")]
    InvalidTotal,
}

/// Takes one complete reply off the buffer; none if it holds only a part of one.
///
/// # Errors
/// If the buffer begins with what cannot become a reply.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<Reply>, ReplyError> {
    let line_end = buffer.windows(LINE_END.len()).position(|window| window == LINE_END);
    let line = &buffer[..line_end.unwrap_or(buffer.len())];
    // Checked before the line has ended: bytes that are no reply need not hold a line end.
    check_prefix(line)?;
    let Some(line_end) = line_end else { return Ok(None) };
    let text = std::str::from_utf8(line).map_err(|_| ReplyError::UnknownKind)?;
    match text.split_at_checked(1) {
        Some(("-", error)) if ERROR_WORDS.iter().any(|word| error.starts_with(word)) => {
            buffer.advance(line_end + LINE_END.len());
            Ok(Some(Reply::Rejected))
        }
        Some(("$", length)) => {
            let length = parse_length(length)?;
            decode_total(buffer, line_end + LINE_END.len(), length)
        }
        _ => Err(ReplyError::UnknownKind),
    }
}

/// Takes off a total of this length that begins at `start`.
fn decode_total(buffer: &mut BytesMut, start: usize, length: usize) -> Result<Option<Reply>, ReplyError> {
    let end = start + length;
    let reply_end = end + LINE_END.len();
    if buffer.len() < reply_end {
        return Ok(None);
    }
    if &buffer[end..reply_end] != LINE_END {
        return Err(ReplyError::WrongLength);
    }
    let text = std::str::from_utf8(&buffer[start..end]).map_err(|_| ReplyError::InvalidTotal)?;
    let total = text.trim().parse::<f64>().map_err(|_| ReplyError::InvalidTotal)?;
    if !total.is_finite() {
        return Err(ReplyError::InvalidTotal);
    }
    buffer.advance(reply_end);
    Ok(Some(Reply::Total(total)))
}

fn parse_length(text: &str) -> Result<usize, ReplyError> {
    let length = text.parse::<usize>().map_err(|_| ReplyError::InvalidLength)?;
    if length > MAX_TOTAL_BYTES {
        return Err(ReplyError::InvalidLength);
    }
    Ok(length)
}

/// Checks that a line, which may still be cut off, can be the first of a reply.
fn check_prefix(line: &[u8]) -> Result<(), ReplyError> {
    match line {
        [] => Ok(()),
        [b'-', error @ ..] => {
            let is_known = ERROR_WORDS.iter().any(|word| agree(error, word.as_bytes()));
            if is_known && error.len() < MAX_LINE_BYTES {
                Ok(())
            } else {
                Err(ReplyError::UnknownKind)
            }
        }
        [b'$', length @ ..] => {
            let length = length.strip_suffix(b"\r").unwrap_or(length);
            if length.len() <= MAX_LENGTH_DIGITS && length.iter().all(u8::is_ascii_digit) {
                Ok(())
            } else {
                Err(ReplyError::InvalidLength)
            }
        }
        _ => Err(ReplyError::UnknownKind),
    }
}

/// Whether one of these begins with the other.
fn agree(left: &[u8], right: &[u8]) -> bool {
    left.iter().zip(right).all(|(left, right)| left == right)
}

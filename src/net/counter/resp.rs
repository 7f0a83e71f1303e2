//! The protocol of the counter service: the subset of RESP2 with the command `INCRTTL`, bulk string replies
//! and error replies.

use std::fmt::Write;

use bytes::{Buf, BytesMut};

use crate::decision::CounterKey;

/// The maximum length of an error reply, in bytes.
const MAX_LINE_BYTES: usize = 512;
/// The maximum length of a total, in bytes.
const MAX_TOTAL_BYTES: usize = 64;
/// The maximum number of digits in the length of a total.
const MAX_LENGTH_DIGITS: usize = 3;
const LINE_END: &[u8] = b"\r\n";
/// The words that an error reply may start with.
const ERROR_WORDS: [&str; 2] = ["BUSY", "ERR"];

/// A call that adds to a counter.
pub(super) struct Increment {
    /// The counter to add to.
    pub(super) key: CounterKey,
    /// The units to add.
    pub(super) amount: f64,
    /// How long the counter service keeps a counter that this call creates, in milliseconds.
    pub(super) keep_ms: u64,
}

/// Appends the encoded call to `buffer`.
pub(super) fn encode(buffer: &mut BytesMut, call: &Increment) {
    let key = call.key.0;
    let amount = call.amount.to_string();
    let keep = call.keep_ms.to_string();
    // Writing to a buffer in memory cannot fail.
    let _ = write!(
        buffer,
        "*4\r\n$7\r\nINCRTTL\r\n$16\r\n{key:016x}\r\n${}\r\n{amount}\r\n${}\r\n{keep}\r\n",
        amount.len(),
        keep.len(),
    );
}

/// A reply of the counter service.
#[derive(Debug, PartialEq)]
pub enum Reply {
    /// The amount was added. Holds the counter's total after the call, in units.
    Total(f64),
    /// The call was rejected; nothing was added.
    Rejected,
}

/// Why received bytes are not a valid reply.
#[derive(Debug, PartialEq, Eq, Clone, Copy, thiserror::Error)]
pub enum ReplyError {
    /// The bytes do not start like any reply that the counter service sends.
    #[error("the reply is neither a bulk string nor a known error")]
    UnknownKind,
    /// The length of a total is not a number, or is larger than allowed.
    #[error("the length of the total is not a number or is too large")]
    InvalidLength,
    /// A total does not end where its length says.
    #[error("the total does not have the declared length")]
    WrongLength,
    /// A total is not a finite number.
    #[error("the total is not a finite number")]
    InvalidTotal,
}

/// Removes one complete reply from the start of `buffer` and returns it. Returns `None` if the buffer is
/// empty or holds only a part of a reply.
///
/// # Errors
/// If the bytes at the start of the buffer cannot be the start of a reply.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<Reply>, ReplyError> {
    let line_end = buffer.windows(LINE_END.len()).position(|window| window == LINE_END);
    let line = &buffer[..line_end.unwrap_or(buffer.len())];
    // An incomplete line is checked as well, since bytes that are not a reply may never contain a line end.
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

/// Removes a reply from `buffer` whose total begins at `start` and is `length` bytes long. Returns `None` if
/// the reply is incomplete.
///
/// # Errors
/// If the total has another length or is not a finite number.
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

/// Parses the length of a total, in bytes.
///
/// # Errors
/// If it is not a number or exceeds [`MAX_TOTAL_BYTES`].
fn parse_length(text: &str) -> Result<usize, ReplyError> {
    let length = text.parse::<usize>().map_err(|_| ReplyError::InvalidLength)?;
    if length > MAX_TOTAL_BYTES {
        return Err(ReplyError::InvalidLength);
    }
    Ok(length)
}

/// Checks that a line, of which only the beginning may have arrived, can be the first line of a reply.
///
/// # Errors
/// If no reply starts like this line.
fn check_prefix(line: &[u8]) -> Result<(), ReplyError> {
    match line {
        [] => Ok(()),
        [b'-', error @ ..] => {
            let is_known = ERROR_WORDS.iter().any(|word| is_either_prefix(error, word.as_bytes()));
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

/// Returns whether one of the slices is a prefix of the other.
fn is_either_prefix(left: &[u8], right: &[u8]) -> bool {
    left.iter().zip(right).all(|(left, right)| left == right)
}

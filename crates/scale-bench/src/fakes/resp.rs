//! Parser of counter service calls, which are RESP2 arrays of bulk strings.

use std::io;
use std::str::FromStr;

use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

/// Limit on the number of words in a call, the command included.
const MAX_WORDS: usize = 8;
/// Limit on the length of a word, in bytes.
const MAX_WORD_LENGTH: usize = 512;
/// Limit on the bytes that are read as a header line; every valid one is shorter.
const MAX_HEADER_LENGTH: u64 = 32;

/// Reads one call and returns its words. Returns `None` if the connection ends before the next call.
///
/// # Errors
/// Returns an error if reading fails, the connection ends within a call, or the bytes are not a call within
/// the limits above.
pub async fn read_call(reader: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Option<Vec<Vec<u8>>>> {
    let Some(count) = read_header(reader, b'*', MAX_WORDS).await? else { return Ok(None) };
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        let header = read_header(reader, b'$', MAX_WORD_LENGTH).await?;
        let length = header.ok_or(io::ErrorKind::UnexpectedEof)?;
        // A line break of two bytes follows the word.
        let mut word = vec![0; length + 2];
        reader.read_exact(&mut word).await?;
        word.truncate(length);
        words.push(word);
    }
    Ok(Some(words))
}

/// Parses a word as a number. Returns `None` if it is not valid UTF-8 or not a number of this type.
pub fn parse<T: FromStr>(word: &[u8]) -> Option<T> {
    std::str::from_utf8(word).ok()?.parse().ok()
}

/// Reads a header line such as `*4` and returns its number, or `None` if the connection has ended.
///
/// # Errors
/// Returns an error if reading fails, the line does not start with `type_byte`, or its number is above `max`
/// or malformed.
async fn read_header(
    reader: &mut (impl AsyncBufRead + Unpin),
    type_byte: u8,
    max: usize,
) -> io::Result<Option<usize>> {
    let mut line = Vec::new();
    let read = reader.take(MAX_HEADER_LENGTH).read_until(b'\n', &mut line).await?;
    if read == 0 {
        return Ok(None);
    }
    let length = line.strip_prefix(&[type_byte]).and_then(|rest| parse(rest.trim_ascii_end()));
    match length {
        Some(length) if length <= max => Ok(Some(length)),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

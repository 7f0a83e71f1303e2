//! Reads the calls of the counter protocol (RESP2 arrays of bulk strings).

use std::io;
use std::str::FromStr;

use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

/// Most words of a call.
const MAX_WORDS: usize = 8;
/// Longest word of a call, in bytes.
const MAX_WORD_LENGTH: usize = 512;
/// More bytes than any header line has.
const MAX_HEADER_LENGTH: u64 = 32;

/// Reads one call; none at the connection's end.
///
/// # Errors
/// If the connection breaks, or what comes is no call within the bounds.
pub async fn read_call(reader: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Option<Vec<Vec<u8>>>> {
    let Some(count) = read_header(reader, b'*', MAX_WORDS).await? else { return Ok(None) };
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        let header = read_header(reader, b'$', MAX_WORD_LENGTH).await?;
        let length = header.ok_or(io::ErrorKind::UnexpectedEof)?;
        // The word is followed by a line break.
        let mut word = vec![0; length + 2];
        reader.read_exact(&mut word).await?;
        word.truncate(length);
        words.push(word);
    }
    Ok(Some(words))
}

/// Reads a number from the text of a word.
pub fn parse<T: FromStr>(word: &[u8]) -> Option<T> {
    std::str::from_utf8(word).ok()?.parse().ok()
}

/// Reads a header line such as `*4`; none at the connection's end.
async fn read_header(
    reader: &mut (impl AsyncBufRead + Unpin),
    mark: u8,
    most: usize,
) -> io::Result<Option<usize>> {
    let mut line = Vec::new();
    let read = reader.take(MAX_HEADER_LENGTH).read_until(b'\n', &mut line).await?;
    if read == 0 {
        return Ok(None);
    }
    let length = line.strip_prefix(&[mark]).and_then(|rest| parse(rest.trim_ascii_end()));
    match length {
        Some(length) if length <= most => Ok(Some(length)),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

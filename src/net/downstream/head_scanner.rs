//! Follows the head of a request byte by byte, without keeping it.

/// The name of the header whose presence is reported, with the colon that has to follow it directly: hyper
/// rejects a space before it.
const LENGTH_HEADER: &[u8] = b"content-length:";
/// How many bytes of a head are kept: as many as the longest method and the space behind it.
const START_BYTES: usize = 8;

/// Whether the head of a request has a `Content-Length`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LengthHeader {
    /// The head has none.
    Absent,
    /// The head has one, or may have one because its end is not known.
    Possible,
}

/// Where in its line the next byte of a head stands.
#[derive(Clone, Copy)]
enum LinePosition {
    /// At the start of a line.
    Start,
    /// Behind a carriage return at the start of a line.
    AfterReturn,
    /// Elsewhere.
    Inside,
}

/// What is known of a request head that has arrived in part or completely. Empty lines before it don't count.
pub struct HeadScanner {
    start: [u8; START_BYTES],
    start_length: usize,
    position: LinePosition,
    /// How many bytes of the line so far agree with [`LENGTH_HEADER`]; `None` if one of them differs.
    matched_bytes: Option<usize>,
    has_length_header: bool,
    is_complete: bool,
}

impl Default for HeadScanner {
    fn default() -> Self {
        HeadScanner {
            start: [0; START_BYTES],
            start_length: 0,
            position: LinePosition::Inside,
            matched_bytes: Some(0),
            has_length_header: false,
            is_complete: false,
        }
    }
}

impl HeadScanner {
    /// Scans further bytes and returns how many of them belong to the head, or to the empty lines before it.
    pub fn scan(&mut self, bytes: &[u8]) -> usize {
        for (index, &byte) in bytes.iter().enumerate() {
            if self.is_complete {
                return index;
            }
            self.scan_byte(byte);
        }
        bytes.len()
    }

    /// Returns whether at least one byte of the head has arrived.
    pub fn has_begun(&self) -> bool {
        self.start_length > 0
    }

    /// Returns the first bytes of the head, enough to tell its method.
    pub fn start(&self) -> &[u8] {
        &self.start[..self.start_length]
    }

    /// Returns whether the head has a `Content-Length`.
    pub fn length_header(&self) -> LengthHeader {
        if self.is_complete && !self.has_length_header {
            LengthHeader::Absent
        } else {
            LengthHeader::Possible
        }
    }

    fn scan_byte(&mut self, byte: u8) {
        if !self.has_begun() && matches!(byte, b'\r' | b'\n') {
            return;
        }
        if self.start_length < START_BYTES {
            self.start[self.start_length] = byte;
            self.start_length += 1;
        }
        self.match_length_header(byte);
        self.follow_line(byte);
    }

    /// Compares the start of each line with the name of the length header.
    fn match_length_header(&mut self, byte: u8) {
        if byte == b'\n' {
            self.matched_bytes = Some(0);
            return;
        }
        let expected = self.matched_bytes.and_then(|count| LENGTH_HEADER.get(count));
        let is_match = expected.is_some_and(|expected| expected.eq_ignore_ascii_case(&byte));
        self.matched_bytes = self.matched_bytes.filter(|_| is_match).map(|count| count + 1);
        if self.matched_bytes == Some(LENGTH_HEADER.len()) {
            self.has_length_header = true;
        }
    }

    /// Looks for the empty line that ends the head. Line ends may lack the carriage return.
    fn follow_line(&mut self, byte: u8) {
        self.position = match (self.position, byte) {
            (LinePosition::Start | LinePosition::AfterReturn, b'\n') => {
                self.is_complete = true;
                LinePosition::Start
            }
            (_, b'\n') => LinePosition::Start,
            (LinePosition::Start, b'\r') => LinePosition::AfterReturn,
            _ => LinePosition::Inside,
        };
    }
}

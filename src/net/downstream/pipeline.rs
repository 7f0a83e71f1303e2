//! What a client has sent behind its open request. What is read ahead with one request lies neither in the socket
//! nor in a request, and a connection closed over it would lose what has begun.

use bytes::{Buf, BytesMut};

/// Past this much that belongs to no request yet, something has surely begun, and no more of it is kept.
const KEPT_MOST: usize = 128 * 1024;

/// Which bytes of a connection belong to the requests that have been opened.
#[derive(Default)]
pub struct Pipeline {
    /// What has come and belongs to no open request.
    ahead: BytesMut,
    /// How much of the open request's body is still to come; none if nobody knows.
    body: Option<usize>,
}

impl Pipeline {
    /// A connection on which nothing has come.
    pub fn new() -> Self {
        Pipeline { ahead: BytesMut::new(), body: Some(0) }
    }

    /// These bytes have been read.
    pub fn came(&mut self, bytes: &[u8]) {
        let rest = match &mut self.body {
            None => return,
            Some(body) => {
                let own = bytes.len().min(*body);
                *body -= own;
                &bytes[own..]
            }
        };
        let room = KEPT_MOST.saturating_sub(self.ahead.len());
        self.ahead.extend_from_slice(&rest[..rest.len().min(room)]);
    }

    /// The next request has been opened, with a body of so many bytes; none where its end can't be known, after
    /// which nothing is served any more. Tells whether its head names a length, or may: of a body in chunks hyper has
    /// dropped that by now.
    pub fn opened(&mut self, body: Option<usize>) -> bool {
        self.skip_line_ends();
        let end = head_end(&self.ahead);
        let length = end.is_none_or(|end| names_length(&self.ahead[..end]));
        self.ahead.advance(end.unwrap_or(self.ahead.len()));
        self.body = body;
        if let Some(body) = &mut self.body {
            let own = self.ahead.len().min(*body);
            self.ahead.advance(own);
            *body -= own;
        }
        length
    }

    /// Whether some of a further request has come. Empty lines before it say nothing.
    pub fn begun(&self) -> bool {
        self.ahead.iter().any(|byte| !matches!(byte, b'\r' | b'\n'))
    }

    fn skip_line_ends(&mut self) {
        let ends = self.ahead.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        self.ahead.advance(ends);
    }
}

/// Where a head ends, behind its empty line. Line ends may lack the carriage return.
fn head_end(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).filter(|&at| bytes[at] == b'\n').find_map(|at| match &bytes[at + 1..] {
        [b'\n', ..] => Some(at + 2),
        [b'\r', b'\n', ..] => Some(at + 3),
        _ => None,
    })
}

/// Whether a line of this head is a `Content-Length`. Names end at their colon: hyper refuses a space before it.
fn names_length(head: &[u8]) -> bool {
    const NAME: &[u8] = b"content-length:";
    head.split(|&byte| byte == b'\n')
        .any(|line| line.get(..NAME.len()).is_some_and(|name| name.eq_ignore_ascii_case(NAME)))
}

//! Bounds the memory of all responses of discovery that are being received at one time.

use std::cell::Cell;
use std::rc::Rc;

use crate::net::discovery::error::MAX_LIST_BYTES;

/// The largest length, in bytes, of all responses together that are being received: two lists of the largest
/// length.
pub const MAX_RESPONSE_BYTES: usize = 2 * MAX_LIST_BYTES;

/// The bytes of all responses that are being received or wait to be parsed.
#[derive(Default)]
pub struct ResponseBytes {
    total: Cell<usize>,
}

impl ResponseBytes {
    /// Creates the buffer of one response, which is empty.
    pub fn buffer(self: &Rc<Self>) -> ResponseBuffer {
        ResponseBuffer { text: Vec::new(), all: self.clone() }
    }
}

/// The part of a response that has arrived. Dropping it frees its bytes for other responses.
pub struct ResponseBuffer {
    text: Vec<u8>,
    all: Rc<ResponseBytes>,
}

impl ResponseBuffer {
    /// Makes room for a response of this length, so that the buffer does not grow in steps. The bytes count only
    /// when they arrive.
    pub fn expect_length(&mut self, bytes: usize) {
        self.text.reserve_exact(bytes);
    }

    /// Returns the number of bytes that have arrived.
    pub fn len(&self) -> usize {
        self.text.len()
    }

    /// Returns whether nothing has arrived.
    pub fn is_empty(&self) -> bool {
        self.text.is_empty()
    }

    /// Appends bytes that have arrived. Returns `false`, and appends nothing, if all responses together would
    /// exceed [`MAX_RESPONSE_BYTES`].
    #[must_use = "the response is incomplete if the bytes were not appended"]
    pub fn append(&mut self, data: &[u8]) -> bool {
        let total = self.all.total.get() + data.len();
        if total > MAX_RESPONSE_BYTES {
            return false;
        }
        self.all.total.set(total);
        self.text.extend_from_slice(data);
        true
    }

    /// Returns the complete text. Its bytes do not count any more.
    pub fn into_text(mut self) -> Vec<u8> {
        self.release();
        std::mem::take(&mut self.text)
    }

    fn release(&self) {
        self.all.total.set(self.all.total.get() - self.text.len());
    }
}

impl Drop for ResponseBuffer {
    fn drop(&mut self) {
        self.release();
    }
}

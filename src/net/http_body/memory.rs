//! Bounds the memory that the bodies of all open requests and responses hold together.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::memory_shares::MemoryShares;
use crate::net::http_body::read::MAX_BODY_BYTES;
use crate::net::rejection_log::RejectionLog;

/// One part in this many of the bodies' memory is kept for responses: a request that got no memory for its
/// response would hold the memory of its own body in vain.
const RESPONSE_PARTS: usize = 4;
/// The smallest memory for bodies, in bytes. The part kept for responses holds one body of the largest length.
const MIN_BODY_MEMORY_BYTES: usize = RESPONSE_PARTS * MAX_BODY_BYTES;

/// The memory that the bodies of all open requests and responses may hold together.
pub struct BodyMemory {
    /// One permit for each byte that no body holds.
    free_bytes: Arc<Semaphore>,
    /// How many bytes new requests leave to responses.
    kept_for_responses: usize,
    /// How many bytes all bodies may hold together.
    total_bytes: usize,
    rejections: RejectionLog,
}

/// A part of the [`BodyMemory`], which returns to it when this is dropped.
pub struct BodyReservation {
    permit: OwnedSemaphorePermit,
}

/// The bytes of a body together with their reservation.
struct ReservedBytes {
    bytes: Box<[u8]>,
    _reservation: BodyReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyMemory {
    /// Creates the memory for the bodies of a process that may hold `memory_limit` bytes in total.
    pub fn new(memory_limit: usize) -> Self {
        let bytes =
            MemoryShares::of(memory_limit).bodies.clamp(MIN_BODY_MEMORY_BYTES, Semaphore::MAX_PERMITS);
        BodyMemory {
            free_bytes: Arc::new(Semaphore::new(bytes)),
            kept_for_responses: bytes / RESPONSE_PARTS,
            total_bytes: bytes,
            rejections: RejectionLog::new("bodies", "requests"),
        }
    }

    /// Reserves memory for the body of a new request, which may become `bytes` long. Returns `None` if the
    /// bodies of the open requests and responses leave too little; a request without a body gets `None`, too,
    /// because there would be no memory for its response.
    pub fn try_reserve_for_request(&self, bytes: usize) -> Option<BodyReservation> {
        let free = self.free_bytes.available_permits();
        if free < bytes + self.kept_for_responses {
            self.rejections.add(self.total_bytes - free, self.total_bytes);
            return None;
        }
        let permit = self.free_bytes.clone().try_acquire_many_owned(permits(bytes)).ok()?;
        Some(BodyReservation { permit })
    }

    /// Reserves memory for the body of a response, which may become `bytes` long. Waits until there is enough;
    /// the response stays in the socket meanwhile.
    pub async fn reserve_for_response(&self, bytes: usize) -> BodyReservation {
        let acquired = self.free_bytes.clone().acquire_many_owned(permits(bytes)).await;
        BodyReservation { permit: acquired.expect("the semaphore is never closed") }
    }
}

impl BodyReservation {
    /// Returns how many bytes are reserved.
    pub fn bytes(&self) -> usize {
        self.permit.num_permits()
    }

    /// Shrinks the reservation to the length of `bytes`, and returns the bytes. The reservation ends when the
    /// last copy of them is dropped.
    pub fn hold(mut self, bytes: Vec<u8>) -> Bytes {
        if bytes.is_empty() {
            return Bytes::new();
        }
        let excess = self.bytes().saturating_sub(bytes.len());
        drop(self.permit.split(excess));
        Bytes::from_owner(ReservedBytes { bytes: bytes.into_boxed_slice(), _reservation: self })
    }
}

/// Returns the number of permits for this many bytes, of which no body has more than [`MAX_BODY_BYTES`].
fn permits(bytes: usize) -> u32 {
    bytes.min(MAX_BODY_BYTES) as u32
}

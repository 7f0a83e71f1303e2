//! Bodies of requests and responses: how they are read, and the memory that all of them may hold together.

mod memory;
mod read;

pub use crate::net::http_body::memory::{BodyMemory, BodyReservation};
pub use crate::net::http_body::read::{length_limit, read_body, BodyError, MAX_BODY_BYTES};

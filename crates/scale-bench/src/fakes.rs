//! Fakes of the peers of an edge node: the discovery agent, the counter service and the endpoints (app
//! servers).
//!
//! Each fake speaks the protocol of the peer that it replaces.

pub mod counter_service;
pub mod discovery_agent;
pub mod endpoint_list;
pub mod endpoints;
pub mod hash;
pub(crate) mod listener;
mod resp;
pub mod traffic;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores that it may be poisoned.
///
/// A panic of another holder does no harm, because every mutex of the fakes holds counts or lists that are
/// valid at any time.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

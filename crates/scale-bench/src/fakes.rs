//! Fakes of an edge node's peers that follow the protocol: the discovery agent, the counter service and the
//! endpoints (app servers).

pub mod counter_service;
pub mod discovery_agent;
pub mod endpoint_list;
pub mod endpoints;
pub mod hash;
pub(crate) mod listener;
mod resp;
pub mod traffic;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a panic elsewhere: every mutex here holds counts and lists that are valid at any time.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

//! Divides time into windows per account. Each window has a counter of its own at the counter service.

use crate::decision::estimators::{splitmix64_finalize, SPLITMIX64_INCREMENT};
use crate::decision::{AccountId, CounterKey, Micros};

/// Length of a window. It is long compared with the time in which a burst refills, and shorter than
/// [`COUNTER_LIFETIME`].
const WINDOW_LENGTH: Micros = 30_000_000;
/// How long the service keeps a counter after its creation.
pub(super) const COUNTER_LIFETIME: Micros = 60_000_000;

/// A window of an account's counter. All nodes derive the same windows and keys without communication.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct CounterWindow {
    account: AccountId,
    number: u64,
}

impl CounterWindow {
    /// Returns the account's window at `now`.
    pub fn at(account: AccountId, now: Micros) -> Self {
        CounterWindow { account, number: (now + window_offset(account)) / WINDOW_LENGTH }
    }

    /// Returns when the window began; 0 if that was before the clock's zero.
    pub fn started_at(self) -> Micros {
        (self.number * WINDOW_LENGTH).saturating_sub(window_offset(self.account))
    }

    /// Returns the key of the window's counter.
    pub fn key(self) -> CounterKey {
        let account_bits = splitmix64_finalize(self.account.0);
        let number_bits = self.number.wrapping_mul(SPLITMIX64_INCREMENT);
        CounterKey(splitmix64_finalize(account_bits ^ number_bits) >> 1)
    }
}

/// Returns by how much the account's windows begin early. The offset differs by account; without it, all
/// accounts would change counters at the same time.
fn window_offset(account: AccountId) -> Micros {
    splitmix64_finalize(account.0) % WINDOW_LENGTH
}

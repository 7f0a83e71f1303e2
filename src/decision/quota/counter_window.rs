//! The windows of an account's counter: each window has a counter of its own at the counter service.

use crate::decision::estimators::{splitmix64_finalize, SPLITMIX64_INCREMENT};
use crate::decision::{AccountId, CounterKey, Micros};

/// How long a window lasts: long against the time in which a burst refills, and within [`COUNTER_LIFETIME`].
const WINDOW_LENGTH: Micros = 30_000_000;
/// How long the service keeps a counter after it was created.
pub(super) const COUNTER_LIFETIME: Micros = 60_000_000;

/// A window of an account's counter. All nodes derive the same windows and keys, with no word between them.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct CounterWindow {
    account: AccountId,
    number: u64,
}

impl CounterWindow {
    /// The account's window at the time `now`.
    pub fn at(account: AccountId, now: Micros) -> Self {
        CounterWindow { account, number: (now + stagger(account)) / WINDOW_LENGTH }
    }

    /// When the window began; 0 if that was before the clock's zero.
    pub fn started_at(self) -> Micros {
        (self.number * WINDOW_LENGTH).saturating_sub(stagger(self.account))
    }

    /// The key of the window's counter.
    pub fn key(self) -> CounterKey {
        let account_bits = splitmix64_finalize(self.account.0);
        let number_bits = self.number.wrapping_mul(SPLITMIX64_INCREMENT);
        CounterKey(splitmix64_finalize(account_bits ^ number_bits) >> 1)
    }
}

/// By how much an account's windows begin early. Without it all accounts would change counters at once.
fn stagger(account: AccountId) -> Micros {
    splitmix64_finalize(account.0) % WINDOW_LENGTH
}

//! Calls to the counter service: those in flight, those that timed out, and what replies say of them.

use std::collections::{BTreeMap, VecDeque};

use super::account::Account;
use super::counter_window::{CounterWindow, COUNTER_LIFETIME};
use crate::decision::{AccountId, Action, CounterKey, Micros, Outcome};

/// How often a counter is read again after a reply that could not be read.
const MAX_REREADS: u32 = 1;

/// A call to the counter that is in flight or timed out. Its amounts are units of quota.
pub(super) struct CounterCall {
    /// Units to lease; negative for a release.
    pub lease_units: f64,
    /// Units added on top, which are not leased: what was admitted without the counter, sampled requests
    /// and the overflow correction.
    pub reported_units: f64,
    /// Part of `reported_units` for the requests that the call represents as a sample.
    pub sampled_units: f64,
    /// Part of `reported_units` that corrects overflow. It is reported once at most: the next total shows
    /// what is left to correct.
    pub overflow_units: f64,
    pub sent_at: Micros,
    /// How often its counter was read again.
    pub rereads: u32,
    /// Whether the call was added is not known, as its connection was reset.
    pub outcome_unknown: bool,
}

impl CounterCall {
    /// Whether the counter should be read once more: the total shows what the lost reply would have shown.
    pub fn needs_reread(&self, reply: CounterReply) -> bool {
        reply.is_inconclusive() && self.rereads < MAX_REREADS
    }

    /// The call as it goes on after a reply that could not be read.
    pub fn with_reread(self, reply: CounterReply, now: Micros) -> Self {
        CounterCall {
            sent_at: now,
            rereads: self.rereads + 1,
            outcome_unknown: reply == CounterReply::ConnectionReset,
            ..self
        }
    }
}

/// What a call adds to the counter, besides what the account has yet to report.
#[derive(Clone, Copy, Default)]
pub(super) struct Increment {
    /// Units to lease; negative for a release.
    pub lease_units: f64,
    /// Overflow to correct; negative to take a correction back.
    pub overflow_units: f64,
}

impl Increment {
    pub fn lease(units: f64) -> Self {
        Increment { lease_units: units, overflow_units: 0.0 }
    }

    pub fn release(units: f64) -> Self {
        Increment { lease_units: -units, overflow_units: 0.0 }
    }

    pub fn overflow_correction(units: f64) -> Self {
        Increment { lease_units: 0.0, overflow_units: units }
    }
}

/// What became of a call.
#[derive(Clone, Copy, PartialEq)]
pub(in crate::decision) enum CounterReply {
    /// It was added, and this is the counter's total.
    Total(f64),
    /// It succeeded, but the total is not a finite number.
    InvalidTotal,
    /// It was not added.
    NotAdded,
    /// It was cancelled or never sent.
    NotSent,
    /// No reply in time. The service may add it yet, and the reply may still come.
    TimedOut,
    /// It was added, but the reply could not be read.
    Unreadable,
    /// The connection was reset. It may have been added, and the service is alive.
    ConnectionReset,
}

impl CounterReply {
    /// Classifies the end of a call; `total` is valid with `Ok`.
    pub fn classify(outcome: Outcome, total: f64) -> Self {
        match outcome {
            Outcome::Ok if total.is_finite() => CounterReply::Total(total),
            Outcome::Ok => CounterReply::InvalidTotal,
            Outcome::Rejected | Outcome::ConnectFailed => CounterReply::NotAdded,
            Outcome::Cancelled | Outcome::NotSent => CounterReply::NotSent,
            Outcome::TimedOut => CounterReply::TimedOut,
            Outcome::Error => CounterReply::Unreadable,
            Outcome::Reset => CounterReply::ConnectionReset,
        }
    }

    /// Whether the service replied with success.
    pub fn is_success(self) -> bool {
        matches!(self, CounterReply::Total(_) | CounterReply::InvalidTotal)
    }

    /// Whether the counter has to be read again to know the total.
    pub fn is_inconclusive(self) -> bool {
        matches!(self, CounterReply::Unreadable | CounterReply::ConnectionReset)
    }
}

/// A call that timed out.
pub(super) struct TimedOutCall {
    pub account: AccountId,
    pub call: CounterCall,
}

/// The calls of all accounts. An account holds its own call; here is which account a reply belongs to.
#[derive(Default)]
pub(super) struct CounterCalls {
    in_flight: BTreeMap<CounterKey, AccountId>,
    /// Calls that timed out and may yet be answered, by key, the oldest first.
    timed_out: BTreeMap<CounterKey, VecDeque<TimedOutCall>>,
}

impl CounterCalls {
    /// Calls the counter of the account's present window. The call reports all that the account has to
    /// report.
    pub fn start(
        &mut self,
        id: AccountId,
        account: &mut Account,
        increment: Increment,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let key = CounterWindow::at(id, now).key();
        let sampled_units = increment.lease_units.max(0.0) * std::mem::take(&mut account.sampling_weight);
        let unreported_units = std::mem::take(&mut account.unreported_units);
        let reported_units = unreported_units + increment.overflow_units + sampled_units;
        account.call = Some(CounterCall {
            lease_units: increment.lease_units,
            reported_units,
            sampled_units,
            overflow_units: increment.overflow_units.max(0.0),
            sent_at: now,
            rereads: 0,
            outcome_unknown: false,
        });
        self.in_flight.insert(key, id);
        let amount = increment.lease_units + reported_units;
        actions.push(Action::IncrementCounter { key, amount, keep_for: COUNTER_LIFETIME });
    }

    /// Reads a counter by a call that adds nothing.
    pub fn read(&mut self, key: CounterKey, id: AccountId, actions: &mut Vec<Action>) {
        self.in_flight.insert(key, id);
        actions.push(Action::IncrementCounter { key, amount: 0.0, keep_for: COUNTER_LIFETIME });
    }

    /// The account whose call was in flight with this key, which has ended.
    pub fn end(&mut self, key: CounterKey) -> Option<AccountId> {
        self.in_flight.remove(&key)
    }

    /// Keeps a call that timed out for a late reply.
    pub fn keep_timed_out(&mut self, key: CounterKey, account: AccountId, call: CounterCall) {
        self.timed_out.entry(key).or_default().push_back(TimedOutCall { account, call });
    }

    /// The call that a late reply belongs to: replies with one key come in the order of the calls.
    pub fn take_timed_out(&mut self, key: CounterKey) -> Option<TimedOutCall> {
        self.timed_out.get_mut(&key)?.pop_front()
    }

    /// Drops timed-out calls whose counters the service no longer keeps.
    pub fn drop_expired(&mut self, now: Micros) {
        self.timed_out.retain(|_, calls| {
            calls.back().is_some_and(|latest| now < latest.call.sent_at + COUNTER_LIFETIME)
        });
    }
}

/// Returns to the account what a call that was not added was to report or release. After a reread this is
/// unknown, so nothing is returned.
pub(super) fn revert_call(account: &mut Account, call: &CounterCall) {
    if call.rereads == 0 {
        account.unreported_units += call.reported_units - call.overflow_units;
        account.lease += (-call.lease_units).max(0.0);
    }
}

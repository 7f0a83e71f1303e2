//! Tracks the calls to the counter service: those in flight and those that timed out.

use std::collections::{BTreeMap, VecDeque};

use super::account::Account;
use super::counter_call::CounterCall;
use super::counter_window::{CounterWindow, COUNTER_LIFETIME};
use crate::decision::{AccountId, Action, CounterKey, Micros};

/// The units that a call adds to the counter in addition to the account's unreported units.
#[derive(Clone, Copy, Default)]
pub(super) struct UnitsToAdd {
    /// Units to lease; negative for a release.
    pub lease_units: f64,
    /// Overflow to correct, in units; negative to take a correction back.
    pub overflow_units: f64,
}

impl UnitsToAdd {
    pub fn lease(units: f64) -> Self {
        UnitsToAdd { lease_units: units, overflow_units: 0.0 }
    }

    pub fn release(units: f64) -> Self {
        UnitsToAdd { lease_units: -units, overflow_units: 0.0 }
    }

    pub fn overflow_correction(units: f64) -> Self {
        UnitsToAdd { lease_units: 0.0, overflow_units: units }
    }
}

/// A call that timed out, with its account.
pub(super) struct TimedOutCall {
    pub account: AccountId,
    pub call: CounterCall,
}

/// The calls of all accounts. Each account holds its own call in flight; this type maps the key of a reply to
/// the account.
#[derive(Default)]
pub(super) struct CounterCalls {
    in_flight: BTreeMap<CounterKey, AccountId>,
    /// Calls that timed out and may still get a reply, by key, the oldest first.
    timed_out: BTreeMap<CounterKey, VecDeque<TimedOutCall>>,
}

impl CounterCalls {
    /// Calls the counter of the account's current window. The call also reports all of the account's
    /// unreported units.
    pub fn start(
        &mut self,
        id: AccountId,
        account: &mut Account,
        units: UnitsToAdd,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let key = CounterWindow::at(id, now).key();
        let sampled_units = units.lease_units.max(0.0) * std::mem::take(&mut account.sampling_weight);
        let unreported_units = std::mem::take(&mut account.unreported_units);
        let reported_units = unreported_units + units.overflow_units + sampled_units;
        account.call = Some(CounterCall {
            lease_units: units.lease_units,
            reported_units,
            sampled_units,
            overflow_units: units.overflow_units.max(0.0),
            sent_at: now,
            rereads: 0,
            outcome_unknown: false,
        });
        self.in_flight.insert(key, id);
        let amount = units.lease_units + reported_units;
        actions.push(Action::IncrementCounter { key, amount, keep_for: COUNTER_LIFETIME });
    }

    /// Reads a counter by a call that adds 0 units.
    pub fn read(&mut self, key: CounterKey, id: AccountId, actions: &mut Vec<Action>) {
        self.in_flight.insert(key, id);
        actions.push(Action::IncrementCounter { key, amount: 0.0, keep_for: COUNTER_LIFETIME });
    }

    /// Ends the call in flight with this key and returns its account. Returns `None` if no call with this key
    /// is in flight.
    pub fn end(&mut self, key: CounterKey) -> Option<AccountId> {
        self.in_flight.remove(&key)
    }

    /// Keeps a call that timed out until its late reply arrives or the call expires.
    pub fn keep_timed_out(&mut self, key: CounterKey, account: AccountId, call: CounterCall) {
        self.timed_out.entry(key).or_default().push_back(TimedOutCall { account, call });
    }

    /// Removes and returns the call that a late reply belongs to: the oldest one with this key, since replies
    /// with one key arrive in the order of the calls. Returns `None` if there is none.
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

/// Gives back to the account what a call that was not added should have reported or released. After a reread,
/// the first call was or may have been added, so nothing is given back.
///
/// The units of sampled requests are given back as well: the next call reports them as unreported units.
pub(super) fn revert_call(account: &mut Account, call: &CounterCall) {
    if call.rereads == 0 {
        account.unreported_units += call.reported_units - call.overflow_units;
        account.lease += (-call.lease_units).max(0.0);
    }
}

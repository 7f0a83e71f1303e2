//! Handles replies of the counter service: what they change in an account, and which calls follow.

use super::counter_call::{CounterCall, CounterReply};
use super::counter_calls::{revert_call, UnitsToAdd};
use super::counter_window::CounterWindow;
use super::reconciliation::{apply_total, resolve_unknown_outcome, Correction};
use super::{lease, QuotaLedger};
use crate::decision::estimators::RandomSource;
use crate::decision::{AccountId, Action, CounterKey, Micros, Settings};

/// Excess of at most this many units does not justify a call.
const MAX_IGNORED_EXCESS: f64 = 0.01;

impl QuotaLedger {
    /// Handles the reply to a call. Returns the account whose queue can be served now, or `None` if the call
    /// or its account is unknown or the counter is read again.
    pub(in crate::decision) fn on_reply(
        &mut self,
        settings: &Settings,
        now: Micros,
        random: &mut RandomSource,
        key: CounterKey,
        reply: CounterReply,
        actions: &mut Vec<Action>,
    ) -> Option<AccountId> {
        let id = self.calls.end(key)?;
        let account = self.accounts.get_mut(id)?;
        let call = account.call.take()?;
        if call.needs_reread(reply) {
            account.call = Some(call.with_reread(reply, now));
            self.calls.read(key, id, actions);
            return None;
        }
        self.counter_health.record(settings, now, random, &call, reply);
        match reply {
            CounterReply::Total(total) => {
                account.even_share = None;
                let may_correct_overflow = !call.outcome_unknown;
                let correction = self.reconcile(settings, id, call, total, now);
                self.send_correction(id, correction, may_correct_overflow, now, actions);
            }
            CounterReply::TimedOut => self.calls.keep_timed_out(key, id, call),
            CounterReply::NotAdded | CounterReply::CancelledOrNotSent | CounterReply::InvalidTotal => {
                revert_call(account, &call);
            }
            // The reread failed too. Whatever the call added stays with the counter; nothing is given back.
            CounterReply::Unreadable | CounterReply::ConnectionReset => {}
        }
        Some(id)
    }

    /// Handles the late result of a call that had timed out.
    ///
    /// A slow counter service may add a call although its reply arrives too late. If the call's units were
    /// attributed to the draws of other nodes, no request could use them, and the quota would seem used up.
    pub(in crate::decision) fn on_late_reply(
        &mut self,
        settings: &Settings,
        now: Micros,
        key: CounterKey,
        reply: CounterReply,
        actions: &mut Vec<Action>,
    ) {
        let Some(timed_out) = self.calls.take_timed_out(key) else { return };
        let id = timed_out.account;
        let Some(account) = self.accounts.get_mut(id) else { return };
        match reply {
            // The total of a past window shows nothing about the current one.
            CounterReply::Total(total) if key == CounterWindow::at(id, now).key() => {
                let correction = self.reconcile(settings, id, timed_out.call, total, now);
                self.return_late_excess(id, correction.excess_units, now, actions);
            }
            CounterReply::NotAdded => revert_call(account, &timed_out.call),
            // The result is unknown, or the total is invalid or of a past window. Nothing can be granted or
            // given back.
            _ => {}
        }
    }

    /// Updates the account with the counter's total after a call, once it is determined whether the call was
    /// added. Returns the correction that the counter needs.
    fn reconcile(
        &mut self,
        settings: &Settings,
        id: AccountId,
        mut call: CounterCall,
        total: f64,
        now: Micros,
    ) -> Correction {
        let Some(account) = self.accounts.get_mut(id) else { return Correction::default() };
        let Some(plan) = settings.plans.get(account.plan) else { return Correction::default() };
        resolve_unknown_outcome(account, id, &mut call, total, now);
        let mut correction = apply_total(account, plan, id, &call, total, now);
        if call.lease_units > 0.0 {
            let is_short = correction.excess_units > 0.0;
            self.speculation.record_reply(account, is_short, now);
            if is_short {
                // The units charged for sampled requests do not reduce the grant. If the bucket is short,
                // they are released.
                correction.excess_units += call.sampled_units;
                // Fractions of a request that remain in the leases of many nodes could add up to the whole
                // burst. If the bucket is short, units that no waiting request needs are therefore released
                // at once instead of when the lease is idle.
                correction.excess_units += lease::take_units_unneeded_by_queue(account);
            }
        }
        correction
    }

    /// Calls the counter for a correction, if the correction justifies a call.
    fn send_correction(
        &mut self,
        id: AccountId,
        correction: Correction,
        may_correct_overflow: bool,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(account) = self.accounts.get_mut(id) else { return };
        let overflow_units = correction.overflow_units;
        let withdraws_correction = overflow_units < 0.0;
        let adds_correction = overflow_units > 0.0 && self.counter_health.is_responsive();
        if correction.excess_units > MAX_IGNORED_EXCESS {
            self.calls.start(id, account, UnitsToAdd::release(correction.excess_units), now, actions);
        } else if may_correct_overflow && (withdraws_correction || adds_correction) {
            self.calls.start(id, account, UnitsToAdd::overflow_correction(overflow_units), now, actions);
        }
    }

    /// Gives back what a late reply granted beyond the bucket's level: by a call of its own, or by the next
    /// call if one is in flight.
    fn return_late_excess(
        &mut self,
        id: AccountId,
        excess_units: f64,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(account) = self.accounts.get_mut(id) else { return };
        if account.call.is_some() {
            account.unreported_units -= excess_units;
        } else if excess_units > MAX_IGNORED_EXCESS {
            self.calls.start(id, account, UnitsToAdd::release(excess_units), now, actions);
        }
    }
}

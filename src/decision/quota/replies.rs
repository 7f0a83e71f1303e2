//! Replies of the counter service: what they change in an account, and what the service is sent in return.

use super::counter_call::{CounterCall, CounterReply};
use super::counter_calls::{revert_call, Increment};
use super::counter_window::CounterWindow;
use super::reconciliation::{apply_total, resolve_unknown_outcome, Correction};
use super::{lease, QuotaLedger};
use crate::decision::estimators::RandomSource;
use crate::decision::{AccountId, Action, CounterKey, Micros, Settings};

/// Excess of at most this many units does not justify a call.
const LEAST_EXCESS: f64 = 0.01;

impl QuotaLedger {
    /// Takes in the reply to a call. Returns the account whose queue can be served now.
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
        let account = self.accounts.get_mut(&id)?;
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
            CounterReply::NotAdded | CounterReply::NotSent | CounterReply::InvalidTotal => {
                revert_call(account, &call);
            }
            CounterReply::Unreadable | CounterReply::ConnectionReset => {}
        }
        Some(id)
    }

    /// Takes in what became of a call that had timed out. A slow counter adds a call though its reply comes
    /// too late: taken for draws of other nodes, no request could use the units, and the quota would seem
    /// used up.
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
        let Some(account) = self.accounts.get_mut(&id) else { return };
        match reply {
            // The total of a window that is over shows nothing of the present one.
            CounterReply::Total(total) if key == CounterWindow::at(id, now).key() => {
                let correction = self.reconcile(settings, id, timed_out.call, total, now);
                self.return_late_excess(id, correction.excess_units, now, actions);
            }
            CounterReply::NotAdded => revert_call(account, &timed_out.call),
            // It is still not known what became of the call.
            _ => {}
        }
    }

    /// Takes the total after an added call into the account. Returns the correction that the counter needs.
    fn reconcile(
        &mut self,
        settings: &Settings,
        id: AccountId,
        mut call: CounterCall,
        total: f64,
        now: Micros,
    ) -> Correction {
        let Some(account) = self.accounts.get_mut(&id) else { return Correction::default() };
        let Some(plan) = settings.plans.get(account.plan) else { return Correction::default() };
        resolve_unknown_outcome(account, id, &mut call, total, now);
        let mut correction = apply_total(account, plan, id, &call, total, now);
        if call.lease_units > 0.0 {
            let is_short = correction.excess_units > 0.0;
            self.speculation.record_reply(account, is_short, now);
            if is_short {
                correction.excess_units += call.sampled_units;
                // A part of a request left over in the lease of each node could add up to all of the burst.
                // So with the bucket short, units that no waiting request needs are released at once, and
                // not only when the lease is idle.
                correction.excess_units += lease::take_units_unneeded_by_queue(account);
            }
        }
        correction
    }

    /// Calls the counter for a correction, if it justifies a call.
    fn send_correction(
        &mut self,
        id: AccountId,
        correction: Correction,
        may_correct_overflow: bool,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(account) = self.accounts.get_mut(&id) else { return };
        let overflow_units = correction.overflow_units;
        let takes_back = overflow_units < 0.0;
        let corrects = overflow_units > 0.0 && self.counter_health.is_responsive();
        if correction.excess_units > LEAST_EXCESS {
            self.calls.start(id, account, Increment::release(correction.excess_units), now, actions);
        } else if may_correct_overflow && (takes_back || corrects) {
            self.calls.start(id, account, Increment::overflow_correction(overflow_units), now, actions);
        }
    }

    /// Returns what a late reply granted beyond the bucket: by a call of its own, or while a call is in
    /// flight by the one after it.
    fn return_late_excess(
        &mut self,
        id: AccountId,
        excess_units: f64,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(account) = self.accounts.get_mut(&id) else { return };
        if account.call.is_some() {
            account.unreported_units -= excess_units;
        } else if excess_units > LEAST_EXCESS {
            self.calls.start(id, account, Increment::release(excess_units), now, actions);
        }
    }
}

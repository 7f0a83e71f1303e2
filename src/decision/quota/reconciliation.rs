//! Reconciliation: what a total of the counter says about a call, and what the counter is corrected by.

use super::account::Account;
use super::counter_call::CounterCall;
use super::counter_window::CounterWindow;
use crate::decision::{AccountId, Micros, Plan};

/// Overflow is corrected from this share of a burst on. Until then it can be spent on top of the burst; each
/// correction costs a call.
const OVERFLOW_SHARE: f64 = 0.25;
/// Totals that differ by this share or less count as equal: the service rounds.
const TOTAL_PRECISION: f64 = 2e-6;

/// What the counter has to be corrected by after a total.
#[derive(Clone, Copy, Default)]
pub(super) struct Correction {
    /// Units that the call added and that are to be released, since they don't fit into the bucket.
    pub excess_units: f64,
    /// Units to add to the total because they overflowed; negative to take back a correction that two nodes
    /// made.
    pub overflow_units: f64,
}

/// Clears up whether a call of unknown outcome was added, now that a total is there.
///
/// What other nodes drew must not be granted here as well. So the call counts as added only if the total
/// grew by its very amount, and as not added only if it grew by less. Otherwise its units stay with the
/// counter and nobody gets them, at the expense of an account that has little left.
pub(super) fn resolve_unknown_outcome(
    account: &mut Account,
    id: AccountId,
    call: &mut CounterCall,
    total: f64,
    now: Micros,
) {
    if !call.outcome_unknown {
        return;
    }
    let last_total = account.bucket.last_total_in(CounterWindow::at(id, now));
    let called_units = call.lease_units + call.reported_units;
    let growth = total - last_total;
    let precision = total.abs().max(1.0) * TOTAL_PRECISION;
    if (growth - called_units).abs() <= precision {
        return;
    }
    if called_units > 0.0 && growth < called_units {
        account.unreported_units += call.reported_units - call.sampled_units - call.overflow_units;
    }
    call.lease_units = 0.0;
    call.reported_units = 0.0;
    call.sampled_units = 0.0;
}

/// Takes the total after an added call into the account: the draws of other nodes, the bucket's level and the
/// lease.
pub(super) fn apply_total(
    account: &mut Account,
    plan: &Plan,
    id: AccountId,
    call: &CounterCall,
    total: f64,
    now: Micros,
) -> Correction {
    let observation = account.bucket.observe(plan, CounterWindow::at(id, now), call, total, now);
    let excess_units = grant_lease(account, call);
    let overflow_units = if is_corrected_twice(call, observation.drawn_elsewhere) {
        -call.reported_units
    } else if observation.is_carried_on {
        0.0
    } else {
        overflow_to_correct(plan, observation.level_by_total, call)
    };
    Correction { excess_units, overflow_units }
}

/// Adds to the lease what of the call's units fits into the bucket. Returns the rest.
fn grant_lease(account: &mut Account, call: &CounterCall) -> f64 {
    let requested = call.lease_units.max(0.0);
    let shortage = (account.bucket.level() + call.sampled_units).min(0.0);
    let granted = (requested + shortage).clamp(0.0, requested);
    account.lease += granted;
    requested - granted
}

/// What flowed over since the window began, once that justifies a call.
fn overflow_to_correct(plan: &Plan, level_by_total: f64, call: &CounterCall) -> f64 {
    let overflow = level_by_total + call.lease_units - plan.burst_units;
    if overflow < plan.burst_units * OVERFLOW_SHARE {
        0.0
    } else {
        overflow
    }
}

/// Whether another node corrected the same overflow: two nodes that see one overflow both correct it, and
/// the later sees that others added about as much during its call. That the bucket is not full shows
/// nothing, since the node has just drawn from it.
fn is_corrected_twice(call: &CounterCall, drawn_elsewhere: f64) -> bool {
    call.lease_units == 0.0 && call.reported_units > 0.0 && drawn_elsewhere > call.reported_units / 2.0
}

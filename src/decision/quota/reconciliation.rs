//! Reconciliation: what a counter's total says about a call, and how the counter has to be corrected.

use super::account::Account;
use super::counter_call::CounterCall;
use super::counter_window::CounterWindow;
use crate::decision::{AccountId, Micros, Plan};

/// Overflow is corrected if it is at least this share of a burst. A smaller overflow can be spent on top of
/// the burst, because each correction costs a call.
const MIN_OVERFLOW_SHARE: f64 = 0.25;
/// Totals that differ by at most this share count as equal, because the service rounds.
const TOTAL_PRECISION: f64 = 2e-6;

/// The correction that the counter needs after a total.
#[derive(Clone, Copy, Default)]
pub(super) struct Correction {
    /// Units that the call added and that do not fit into the bucket. They have to be released.
    pub excess_units: f64,
    /// Units to add to the total because they overflowed; negative to take back a correction that two nodes
    /// made.
    pub overflow_units: f64,
}

/// Determines from a total whether a call of unknown outcome was added. If it does not count as added, its
/// units are set to 0.
///
/// Units that other nodes drew must not be granted at this node as well. The call therefore counts as added
/// only if the total grew by its amount, within [`TOTAL_PRECISION`], and as not added only if its amount is
/// positive and the total grew by less. Otherwise its units stay with the counter and no node gets them, at
/// the expense of an account that has few units left.
///
/// If the call counts as not added, the next call reports the units admitted without the counter. The
/// overflow correction is not reported again ([`CounterCall::overflow_units`]). The units of sampled requests
/// are dropped, whereas after `revert_call` the next call reports them.
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

/// Updates the account with the counter's total after a call, once it is determined whether the call was
/// added: the draws of other nodes, the bucket's level and the lease. Returns the correction that the counter
/// needs.
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
    } else if observation.is_carried_forward {
        0.0
    } else {
        overflow_to_correct(plan, observation.level_by_total, call)
    };
    Correction { excess_units, overflow_units }
}

/// Adds the units of the call that fit into the bucket to the lease. Returns the remaining units, which are
/// above 0 if the bucket is short. The units charged for sampled requests do not reduce the grant.
fn grant_lease(account: &mut Account, call: &CounterCall) -> f64 {
    let requested = call.lease_units.max(0.0);
    let level_below_zero = (account.bucket.level() + call.sampled_units).min(0.0);
    let granted = (requested + level_below_zero).clamp(0.0, requested);
    account.lease += granted;
    requested - granted
}

/// Returns the units that overflowed since the window began; 0 if they are too few to justify a call.
fn overflow_to_correct(plan: &Plan, level_by_total: f64, call: &CounterCall) -> f64 {
    let overflow = level_by_total + call.lease_units - plan.burst_units;
    if overflow < plan.burst_units * MIN_OVERFLOW_SHARE {
        0.0
    } else {
        overflow
    }
}

/// Returns whether another node corrected the same overflow. If two nodes see the same overflow, both correct
/// it, and the later one sees that others added about as much during its call. The bucket's level is no
/// evidence: it is not full after a single correction either, since the node has just drawn from it.
fn is_corrected_twice(call: &CounterCall, drawn_elsewhere: f64) -> bool {
    call.lease_units == 0.0 && call.reported_units > 0.0 && drawn_elsewhere > call.reported_units / 2.0
}

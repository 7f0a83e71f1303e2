//! Reconciliation: what a total of the counter shows about a call, the bucket and the other nodes' draws.
//!
//! A window's total is all that was drawn in it, at all nodes. The bucket's level follows from it, but for
//! two things that a total cannot show: units that flowed over while the bucket was full, which are added
//! to the total as an overflow correction, and what was drawn before the total was lost by a flush or
//! restart.

use super::account::{seconds_between, Account, SeenTotal, RATE_SPAN};
use super::counter_calls::CounterCall;
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

/// A total of the counter beside what the account knew before.
struct TotalChange {
    window: CounterWindow,
    total: f64,
    /// Growth of the total since it was last seen, with this call's units.
    growth: f64,
    /// The total of this window was not seen before.
    is_first_in_window: bool,
    /// The total fell: the counter was flushed or restarted.
    has_fallen: bool,
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
    let window = CounterWindow::at(id, now);
    let last_total = account.last_total.filter(|last| last.window == window).map_or(0.0, |last| last.units);
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
    let change = compare_totals(account, plan, CounterWindow::at(id, now), call, total);
    let drawn_elsewhere = (change.growth - call.lease_units - call.reported_units).max(0.0);
    account.drawn_elsewhere.add(now, drawn_elsewhere, RATE_SPAN);
    let level_by_total = plan.burst_units
        + plan.quota_units_per_second * seconds_between(change.window.started_at(), now)
        - change.total;
    // A total that fell shows nothing of the past: the level is carried on, less what the other nodes draw.
    // Under a hard ceiling it always is, since no total may grant a burst twice.
    let carries_on = change.has_fallen || plan.ceiling_units_per_second > 0.0;
    account.bucket_level = if carries_on {
        carried_level(account, plan, &change, now)
    } else {
        level_by_total.min(refilled_level(account, plan, now) - call.lease_units)
    };
    account.bucket_level_at = now;
    account.last_total = Some(SeenTotal { window: change.window, units: change.total });
    let excess_units = grant_lease(account, call);
    let overflow_units = if is_corrected_twice(call, drawn_elsewhere) {
        -call.reported_units
    } else if carries_on {
        0.0
    } else {
        overflow_to_correct(plan, level_by_total, call)
    };
    Correction { excess_units, overflow_units }
}

fn compare_totals(
    account: &Account,
    plan: &Plan,
    window: CounterWindow,
    call: &CounterCall,
    total: f64,
) -> TotalChange {
    let last_total = account.last_total.filter(|last| last.window == window).map(|last| last.units);
    let has_fallen = last_total.is_some_and(|last| total + plan.burst_units / 2.0 < last + call.lease_units);
    let base = last_total.filter(|_| !has_fallen).unwrap_or(total - call.lease_units);
    TotalChange { window, total, growth: total - base, is_first_in_window: last_total.is_none(), has_fallen }
}

/// The level at the time `now` if nothing had been drawn since it was last computed.
fn refilled_level(account: &Account, plan: &Plan, now: Micros) -> f64 {
    let refill = plan.quota_units_per_second * seconds_between(account.bucket_level_at, now);
    (account.bucket_level + refill).min(plan.burst_units)
}

/// The level by what was known before, less what was drawn since: the total's growth, and the usual draws
/// of the other nodes for a time that the total does not cover.
fn carried_level(account: &Account, plan: &Plan, change: &TotalChange, now: Micros) -> f64 {
    let unseen_draws = if change.is_first_in_window || change.has_fallen {
        account.drawn_elsewhere.get(now, RATE_SPAN) * seconds_between(account.bucket_level_at, now)
    } else {
        0.0
    };
    refilled_level(account, plan, now) - change.growth - unseen_draws
}

/// Adds to the lease what of the call's units fits into the bucket. Returns the rest.
fn grant_lease(account: &mut Account, call: &CounterCall) -> f64 {
    let requested = call.lease_units.max(0.0);
    let shortage = (account.bucket_level + call.sampled_units).min(0.0);
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
/// the later sees that others added about as much during its call. That the bucket is not full tells
/// nothing, since the node has just drawn from it.
fn is_corrected_twice(call: &CounterCall, drawn_elsewhere: f64) -> bool {
    call.lease_units == 0.0 && call.reported_units > 0.0 && drawn_elsewhere > call.reported_units / 2.0
}

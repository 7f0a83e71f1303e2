//! The token bucket that an account has in the whole fleet, as far as one node knows it from the counter's
//! totals.
//!
//! A window's total is the sum of the units that all nodes drew in the window. Here a node draws units by its
//! calls: it leases them, less those that it releases, or reports them. The bucket's level follows from the
//! total, except for two things that a total cannot show:
//!
//! - Units that overflowed while the bucket was full. They are added to the total as an overflow correction.
//! - Units that were drawn before a flush or restart of the service, by which the total was lost.

use super::counter_call::CounterCall;
use super::counter_window::CounterWindow;
use super::demand::RATE_TIME_CONSTANT;
use crate::decision::estimators::{DecayingRate, MICROS_PER_SECOND};
use crate::decision::{Micros, Plan};

/// For this long after a total, the recent draws of other nodes are taken from it. Longer than
/// `LEASE_IDLE_TIMEOUT`, so an account in use whose total is older has had no reply.
const TOTAL_LIFETIME: Micros = 4_000_000;

/// The latest total of the counter that this node has seen.
#[derive(Clone, Copy)]
struct KnownTotal {
    window: CounterWindow,
    units: f64,
}

/// The fleet-wide token bucket of one account. Levels are in units of quota.
#[derive(Default)]
pub(super) struct FleetBucket {
    /// The level at the time `updated_at`.
    level: f64,
    updated_at: Micros,
    /// `None` before the counter's first reply.
    last_total: Option<KnownTotal>,
    /// Rate at which other nodes draw, in units per second.
    drawn_elsewhere: DecayingRate,
}

/// What a total showed about the bucket. Amounts are in units.
pub(super) struct Observation {
    /// The level computed from the total alone. It exceeds the level of the bucket by the units that
    /// overflowed.
    pub level_by_total: f64,
    /// Units that other nodes drew since the previous total.
    pub drawn_elsewhere: f64,
    /// Whether the level was carried forward from the previous one instead of computed from the total.
    pub is_carried_forward: bool,
}

/// A total of the counter compared with the previous one. Amounts are in units.
struct TotalChange {
    /// Growth of the total since it was last seen, including this call's units; if no earlier total is
    /// comparable, only the units that this call leased.
    growth: f64,
    /// Whether no total of this window was seen before.
    is_first_in_window: bool,
    /// Whether the total fell, because the counter was flushed or restarted.
    has_fallen: bool,
}

impl FleetBucket {
    /// Returns the bucket of an account of which no total is known.
    pub fn new(plan: Option<&Plan>, node_count: f64, now: Micros) -> Self {
        FleetBucket {
            level: plan.map_or(0.0, |plan| initial_level(plan, node_count)),
            updated_at: now,
            ..FleetBucket::default()
        }
    }

    /// Returns the level as of the latest total.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Returns whether a total has been seen.
    pub fn has_total(&self) -> bool {
        self.last_total.is_some()
    }

    /// Returns whether a total was seen recently enough to show what other nodes draw.
    pub fn has_recent_total(&self, now: Micros) -> bool {
        self.has_total() && now < self.updated_at + TOTAL_LIFETIME
    }

    /// Returns the latest total that was seen in this window; 0 if there is none.
    pub fn last_total_in(&self, window: CounterWindow) -> f64 {
        self.known_total_in(window).unwrap_or(0.0)
    }

    /// Returns the rate at which other nodes draw, in units per second.
    pub fn draw_rate_elsewhere(&self, now: Micros) -> f64 {
        self.drawn_elsewhere.per_second(now, RATE_TIME_CONSTANT)
    }

    /// Returns the level at `now`, if the other nodes continue to draw at their recent rate. The bucket is
    /// assumed to refill at this node's even share of the quota or faster. The result may exceed the burst.
    pub fn projected_level(&self, plan: &Plan, node_count: f64, now: Micros) -> f64 {
        let net_rate = (plan.quota_units_per_second - self.draw_rate_elsewhere(now))
            .max(plan.quota_units_per_second / node_count);
        self.level + net_rate * seconds_between(self.updated_at, now)
    }

    /// Updates the bucket with the counter's total after a call. If the call was not added, its units must be
    /// 0.
    pub fn observe(
        &mut self,
        plan: &Plan,
        window: CounterWindow,
        call: &CounterCall,
        total: f64,
        now: Micros,
    ) -> Observation {
        let change = self.compare_totals(plan, window, call, total);
        let drawn_elsewhere = (change.growth - call.lease_units - call.reported_units).max(0.0);
        self.drawn_elsewhere.record(now, drawn_elsewhere, RATE_TIME_CONSTANT);
        let level_by_total = plan.burst_units
            + plan.quota_units_per_second * seconds_between(window.started_at(), now)
            - total;
        // After a flush or restart, a total does not include earlier draws. The level is then carried
        // forward, less what the other nodes draw. Under a hard ceiling it is always carried forward, because
        // no total may grant a burst twice.
        let is_carried_forward = change.has_fallen || plan.ceiling_units_per_second > 0.0;
        self.level = if is_carried_forward {
            self.carried_forward_level(plan, &change, now)
        } else {
            level_by_total.min(self.refilled_level(plan, now) - call.lease_units)
        };
        self.updated_at = now;
        self.last_total = Some(KnownTotal { window, units: total });
        Observation { level_by_total, drawn_elsewhere, is_carried_forward }
    }

    fn known_total_in(&self, window: CounterWindow) -> Option<f64> {
        self.last_total.filter(|last| last.window == window).map(|last| last.units)
    }

    fn compare_totals(
        &self,
        plan: &Plan,
        window: CounterWindow,
        call: &CounterCall,
        total: f64,
    ) -> TotalChange {
        let last_total = self.known_total_in(window);
        let has_fallen =
            last_total.is_some_and(|last| total + plan.burst_units / 2.0 < last + call.lease_units);
        let base = last_total.filter(|_| !has_fallen).unwrap_or(total - call.lease_units);
        TotalChange { growth: total - base, is_first_in_window: last_total.is_none(), has_fallen }
    }

    /// Returns the level at `now` if nothing had been drawn since it was last computed.
    fn refilled_level(&self, plan: &Plan, now: Micros) -> f64 {
        let refill = plan.quota_units_per_second * seconds_between(self.updated_at, now);
        (self.level + refill).min(plan.burst_units)
    }

    /// Returns the previous level, refilled up to `now`, less what was drawn since: the total's growth and,
    /// for a period that the total does not cover, the draws of the other nodes at their recent rate.
    fn carried_forward_level(&self, plan: &Plan, change: &TotalChange, now: Micros) -> f64 {
        let unseen_draws = if change.is_first_in_window || change.has_fallen {
            self.draw_rate_elsewhere(now) * seconds_between(self.updated_at, now)
        } else {
            0.0
        };
        self.refilled_level(plan, now) - change.growth - unseen_draws
    }
}

/// Returns the assumed level of the bucket of an unknown account. Under a hard ceiling this is only half of
/// this node's part: any number of nodes may restart while the counter is empty, and each of them would
/// otherwise grant a full burst.
fn initial_level(plan: &Plan, node_count: f64) -> f64 {
    if plan.ceiling_units_per_second > 0.0 {
        plan.burst_units / node_count / 2.0
    } else {
        plan.burst_units
    }
}

/// Returns the seconds from `start` to `now`; 0 if `start` is the later one.
fn seconds_between(start: Micros, now: Micros) -> f64 {
    now.saturating_sub(start) as f64 / MICROS_PER_SECOND
}

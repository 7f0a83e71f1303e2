//! The token bucket that an account has in the whole fleet, as far as one node knows it by the counter's
//! totals.
//!
//! A window's total is all that was drawn in it, at all nodes. The bucket's level follows from it, but for
//! two things that a total cannot show: units that flowed over while the bucket was full, which are added
//! to the total as an overflow correction, and what was drawn before the total was lost by a flush or
//! restart.

use super::counter_call::CounterCall;
use super::counter_window::CounterWindow;
use super::demand::RATE_SPAN;
use crate::decision::estimators::{DecayingRate, MICROS_PER_SECOND};
use crate::decision::{Micros, Plan};

/// A total shows what other nodes draw for this long. It is longer than a lease lies idle, so where it has
/// passed the counter has not replied though the account was in use.
const TOTAL_LIFETIME: Micros = 4_000_000;

/// The counter's total as it was last seen.
#[derive(Clone, Copy)]
struct SeenTotal {
    window: CounterWindow,
    units: f64,
}

/// The bucket of an account. Levels are in units of quota.
#[derive(Default)]
pub(super) struct FleetBucket {
    /// The level at the time `updated_at`.
    level: f64,
    updated_at: Micros,
    /// None before the counter's first reply.
    last_total: Option<SeenTotal>,
    /// What other nodes draw, in units per second.
    drawn_elsewhere: DecayingRate,
}

/// What a total showed about the bucket.
pub(super) struct Observation {
    /// The level by the total alone. It is above the level of the bucket by what flowed over.
    pub level_by_total: f64,
    /// What other nodes drew since the total before.
    pub drawn_elsewhere: f64,
    /// The level does not follow from the total.
    pub is_carried_on: bool,
}

/// A total of the counter beside the one before it.
struct TotalChange {
    /// Growth of the total since it was last seen, with this call's units.
    growth: f64,
    /// The total of this window was not seen before.
    is_first_in_window: bool,
    /// The total fell: the counter was flushed or restarted.
    has_fallen: bool,
}

impl FleetBucket {
    /// The bucket of an account that no total is known of.
    pub fn new(plan: Option<&Plan>, node_count: f64, now: Micros) -> Self {
        FleetBucket {
            level: plan.map_or(0.0, |plan| initial_level(plan, node_count)),
            updated_at: now,
            ..FleetBucket::default()
        }
    }

    /// The level when the latest total was taken in.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Whether a total has been seen.
    pub fn is_known(&self) -> bool {
        self.last_total.is_some()
    }

    /// Whether a total was seen so lately that it shows what other nodes draw.
    pub fn shows_other_nodes(&self, now: Micros) -> bool {
        self.is_known() && now < self.updated_at + TOTAL_LIFETIME
    }

    /// The total that was last seen in this window; 0 if there was none.
    pub fn last_total_in(&self, window: CounterWindow) -> f64 {
        self.seen_in(window).unwrap_or(0.0)
    }

    /// What other nodes draw, in units per second.
    pub fn draw_rate_elsewhere(&self, now: Micros) -> f64 {
        self.drawn_elsewhere.per_second(now, RATE_SPAN)
    }

    /// The level now, if the other nodes go on drawing as they did.
    pub fn projected_level(&self, plan: &Plan, node_count: f64, now: Micros) -> f64 {
        let net_rate = (plan.quota_units_per_second - self.draw_rate_elsewhere(now))
            .max(plan.quota_units_per_second / node_count);
        self.level + net_rate * seconds_between(self.updated_at, now)
    }

    /// Takes in the total after a call that was added.
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
        self.drawn_elsewhere.record(now, drawn_elsewhere, RATE_SPAN);
        let level_by_total = plan.burst_units
            + plan.quota_units_per_second * seconds_between(window.started_at(), now)
            - total;
        // A total that fell shows nothing of the past: the level is carried on, less what the other nodes
        // draw. Under a hard ceiling it always is, since no total may grant a burst twice.
        let is_carried_on = change.has_fallen || plan.ceiling_units_per_second > 0.0;
        self.level = if is_carried_on {
            self.carried_level(plan, &change, now)
        } else {
            level_by_total.min(self.refilled_level(plan, now) - call.lease_units)
        };
        self.updated_at = now;
        self.last_total = Some(SeenTotal { window, units: total });
        Observation { level_by_total, drawn_elsewhere, is_carried_on }
    }

    fn seen_in(&self, window: CounterWindow) -> Option<f64> {
        self.last_total.filter(|last| last.window == window).map(|last| last.units)
    }

    fn compare_totals(
        &self,
        plan: &Plan,
        window: CounterWindow,
        call: &CounterCall,
        total: f64,
    ) -> TotalChange {
        let last_total = self.seen_in(window);
        let has_fallen =
            last_total.is_some_and(|last| total + plan.burst_units / 2.0 < last + call.lease_units);
        let base = last_total.filter(|_| !has_fallen).unwrap_or(total - call.lease_units);
        TotalChange { growth: total - base, is_first_in_window: last_total.is_none(), has_fallen }
    }

    /// The level now if nothing had been drawn since it was last computed.
    fn refilled_level(&self, plan: &Plan, now: Micros) -> f64 {
        let refill = plan.quota_units_per_second * seconds_between(self.updated_at, now);
        (self.level + refill).min(plan.burst_units)
    }

    /// The level by what was known before, less what was drawn since: the total's growth, and the usual
    /// draws of the other nodes for a time that the total does not cover.
    fn carried_level(&self, plan: &Plan, change: &TotalChange, now: Micros) -> f64 {
        let unseen_draws = if change.is_first_in_window || change.has_fallen {
            self.draw_rate_elsewhere(now) * seconds_between(self.updated_at, now)
        } else {
            0.0
        };
        self.refilled_level(plan, now) - change.growth - unseen_draws
    }
}

/// What the bucket of an unknown account is taken to hold. Under a hard ceiling that is only half of this
/// node's part: any number of nodes may restart while the counter is empty, and each would grant a full
/// burst.
fn initial_level(plan: &Plan, node_count: f64) -> f64 {
    if plan.ceiling_units_per_second > 0.0 {
        plan.burst_units / node_count / 2.0
    } else {
        plan.burst_units
    }
}

/// The seconds from `start` to `now`; 0 if it is the later.
fn seconds_between(start: Micros, now: Micros) -> f64 {
    now.saturating_sub(start) as f64 / MICROS_PER_SECOND
}

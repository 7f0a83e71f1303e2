//! The cost of an attempt at an endpoint, by which endpoints that are otherwise alike are compared.

use super::endpoint::Endpoint;
use super::endpoint_table::EndpointTable;
use super::failure_shares::{FailureKind, FailureShares};
use super::SelectionRequest;
use crate::decision::estimators::RandomSource;
use crate::decision::{Micros, Settings};

/// How soon the node's own load counts outweigh exploration, in attempts in flight at each endpoint.
const EXPLORATION_DECAY: f64 = 60.0;
/// How much a certain failure adds to the square root of the failure factor.
const FAILURE_COST: f64 = 10.0;
/// Failures are taken into account once they are more than this share over the fleet.
const NEGLIGIBLE_FAILURE_SHARE: f64 = 0.01;
/// Bounds of the slowness: the response time relative to that of the fleet.
const MIN_SLOWNESS: f64 = 0.25;
const MAX_SLOWNESS: f64 = 4.0;
/// Least warm fraction that the cost is divided by.
const MIN_WARM_FRACTION: f64 = 0.05;

/// A kind of failure and its share over the fleet, 0 to 1.
#[derive(Clone, Copy)]
struct FleetShare {
    kind: FailureKind,
    share: f64,
}

/// The kinds of failure that one request may meet.
struct FleetFailures {
    class: FleetShare,
    plan: FleetShare,
    unanswered: FleetShare,
}

impl FleetFailures {
    fn of(request: &SelectionRequest, fleet: &FailureShares, now: Micros) -> Self {
        let fleet_share = |kind| FleetShare { kind, share: fleet.share(kind, 0.0, now) };
        FleetFailures {
            class: fleet_share(FailureKind::Class(request.class)),
            plan: fleet_share(FailureKind::Plan(request.plan)),
            unanswered: fleet_share(FailureKind::Unanswered),
        }
    }

    fn are_negligible(&self) -> bool {
        let all = [self.class, self.plan, self.unanswered];
        all.iter().all(|fleet| fleet.share <= NEGLIGIBLE_FAILURE_SHARE)
    }
}

/// Estimates the cost of an attempt of one request.
pub(super) struct CostModel<'a> {
    settings: &'a Settings,
    now: Micros,
    /// Mean response time of the fleet in microseconds.
    fleet_mean_latency: f64,
    /// Weight of chance beside the node's own load counts, 0 to 1. A node with next to nothing in flight
    /// would otherwise always take the largest endpoint.
    exploration: f64,
    /// None if hardly anything fails.
    fleet_failures: Option<FleetFailures>,
}

impl<'a> CostModel<'a> {
    /// The model for one request.
    pub fn new(
        settings: &'a Settings,
        now: Micros,
        request: &SelectionRequest,
        endpoints: &EndpointTable,
        fleet_mean_latency: f64,
        fleet_failures: &FailureShares,
    ) -> Self {
        let in_flight = endpoints.in_flight() as f64;
        let active_count = endpoints.active_count().max(1) as f64;
        let exploration = 1.0 / (1.0 + EXPLORATION_DECAY * in_flight / active_count);
        let fleet_failures = FleetFailures::of(request, fleet_failures, now);
        let fleet_failures = (!fleet_failures.are_negligible()).then_some(fleet_failures);
        CostModel { settings, now, fleet_mean_latency, exploration, fleet_failures }
    }

    /// The cost of an attempt at this endpoint: its expected wait, relative to its capacity, times factors
    /// for the distance and for the risk of failure. Draws one random number.
    pub fn cost(&self, endpoint: &Endpoint, warm_fraction: f64, random: &mut RandomSource) -> f64 {
        let wait = self.slowness(endpoint) * self.queue(endpoint, random);
        let capacity = endpoint.entry.weight * warm_fraction.max(MIN_WARM_FRACTION);
        let failure_factor = (1.0 + FAILURE_COST * self.failure_risk(endpoint)).powi(2);
        wait / capacity * self.distance_factor(endpoint) * failure_factor
    }

    /// The endpoint's response time relative to that of the fleet.
    fn slowness(&self, endpoint: &Endpoint) -> f64 {
        (endpoint.latency / self.fleet_mean_latency).clamp(MIN_SLOWNESS, MAX_SLOWNESS)
    }

    /// Attempts at the endpoint, this one among them. Where the node's own count says little, a random number
    /// decides; its distribution is exponential, so that endpoints are drawn in proportion to their capacity.
    fn queue(&self, endpoint: &Endpoint, random: &mut RandomSource) -> f64 {
        let load = endpoint.in_flight_since_ejection().count() as f64;
        load + 1.0 - self.exploration + self.exploration * random.exponential()
    }

    /// Factor for crossing zones.
    fn distance_factor(&self, endpoint: &Endpoint) -> f64 {
        if endpoint.entry.zone == self.settings.zone {
            1.0
        } else {
            1.0 + 2.0 * self.settings.cross_zone_cost
        }
    }

    /// The probability that the attempt fails, by the worst kind of failure. Where a node always has attempts
    /// in flight at an endpoint, missing responses show by themselves and weigh less.
    fn failure_risk(&self, endpoint: &Endpoint) -> f64 {
        let Some(fleet) = &self.fleet_failures else { return 0.0 };
        let share = |fleet: FleetShare| endpoint.failures.share(fleet.kind, fleet.share, self.now);
        let unanswered_weight = (2.0 * self.exploration).min(1.0);
        share(fleet.class).max(share(fleet.plan)).max(share(fleet.unanswered) * unanswered_weight)
    }
}

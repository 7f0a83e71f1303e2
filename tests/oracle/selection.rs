//! The endpoint to which an attempt should be sent, found by a scan of the whole list.

use std::collections::BTreeSet;

use edge_node::decision::{DeduplicationScope, EndpointId, EndpointState, Idempotency, RequestId};

use super::{ExpectedEndpoint, FailureKind, Oracle};

/// Of a list longer than this only the subset is examined and, if no endpoint of it is available, up to this
/// many others.
const MAX_EXAMINED: usize = 256;

/// Whether an endpoint is expected to respond. The earlier variant is preferred.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
enum Availability {
    Available,
    /// It is recovering, and the request may not test it.
    Untested,
    Unavailable,
}

/// How an endpoint ranks. The least rank is preferred; the fields are compared in this order.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Rank {
    availability: Availability,
    is_beyond_subset: bool,
    is_not_warming_and_due: bool,
    cost: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Ranked {
    rank: Rank,
    endpoint: EndpointId,
}

/// A kind of failure and its share over the fleet, 0 to 1.
#[derive(Clone, Copy)]
struct FleetFailures {
    kind: FailureKind,
    share: f64,
}

/// The values that are the same for all endpoints that are compared for one attempt.
struct Comparison {
    exclude: Option<EndpointId>,
    subset: BTreeSet<EndpointId>,
    /// Weight of a random number relative to the node's own load counts, 0 to 1.
    exploration: f64,
    class: FleetFailures,
    plan: FleetFailures,
    unanswered: FleetFailures,
}

impl Oracle {
    /// Returns the endpoint to which a request should be sent, or `None` if no endpoint may be sent it.
    pub fn select(&mut self, id: &RequestId, exclude: Option<EndpointId>) -> Option<EndpointId> {
        let ring = self.ring();
        if ring.len() <= MAX_EXAMINED {
            let mut by_id = ring;
            by_id.sort();
            let mut random_state = self.random_state;
            let best = self.best_of(id, exclude, &by_id, &mut random_state);
            self.random_state = random_state;
            return best.map(|best| best.endpoint);
        }
        self.select_from_long_list(id, exclude, &ring)
    }

    fn select_from_long_list(
        &mut self,
        id: &RequestId,
        exclude: Option<EndpointId>,
        ring: &[EndpointId],
    ) -> Option<EndpointId> {
        // The scan of the whole list takes its random numbers from a copy of the state. The node itself draws
        // random numbers only for the endpoints that its subset spans and, if none of them is available, for
        // the sample of the others.
        let best_of_all = self.best_of(id, exclude, ring, &mut self.random_state.clone());
        let position =
            |id| ring.iter().position(|&on_ring| on_ring == id).expect("the id is not on the ring");
        let span = self.subset().last().map_or(0, |&last| position(last) + 1);
        let mut random_state = self.random_state;
        let best_of_subset = self.best_of(id, exclude, &ring[..span], &mut random_state);
        let none_is_available =
            best_of_subset.is_none_or(|best| best.rank.availability != Availability::Available);
        if none_is_available && span < ring.len() {
            let beyond_subset = &ring[span..];
            let is_bound =
                beyond_subset.iter().any(|&endpoint| !self.is_in_deduplication_group(id, endpoint));
            let sample = sample_beyond_subset(beyond_subset, is_bound, &mut random_state);
            let best_beyond_subset = self.best_of(id, exclude, &sample, &mut random_state);
            self.random_state = random_state;
            let found = best_of_subset
                .into_iter()
                .chain(best_beyond_subset)
                .min_by(|one, other| one.partial_cmp(other).expect("expected costs that are not NaN"));
            // A bound repeat finds an endpoint of its group wherever on the ring it is, an available one if
            // there is one.
            let availability = |best: Option<Ranked>| best.map(|best| best.rank.availability);
            assert!(
                !is_bound || availability(found) == availability(best_of_all),
                "found {found:?} for a bound repeat, the best of all is {best_of_all:?}"
            );
            return found.map(|found| found.endpoint);
        }
        self.random_state = random_state;
        assert_eq!(best_of_subset, best_of_all, "best endpoint of the subset and of the whole list");
        best_of_all.map(|best| best.endpoint)
    }

    /// Returns the best of these endpoints. Each endpoint that may be sent the request draws a random number,
    /// in the given order.
    fn best_of(
        &self,
        id: &RequestId,
        exclude: Option<EndpointId>,
        endpoints: &[EndpointId],
        random_state: &mut u64,
    ) -> Option<Ranked> {
        let comparison = self.comparison(id, exclude);
        let mut best: Option<Ranked> = None;
        for &endpoint in endpoints {
            let Some(rank) = self.rank(id, &comparison, endpoint, random_state) else { continue };
            if best.is_none_or(|best| rank < best.rank) {
                best = Some(Ranked { rank, endpoint });
            }
        }
        best
    }

    fn comparison(&self, id: &RequestId, exclude: Option<EndpointId>) -> Comparison {
        let request = &self.requests[id];
        let in_flight: usize = self.endpoints.values().map(|endpoint| endpoint.in_flight.len()).sum();
        let active_count = self.ring().len();
        let fleet_failures = |kind| {
            let share = self.failures.get(&kind).map_or(0.0, |share| share.value(self.now, 0.0));
            FleetFailures { kind, share }
        };
        Comparison {
            exclude,
            subset: self.subset().into_iter().collect(),
            exploration: 1.0 / (1.0 + 60.0 * in_flight as f64 / active_count as f64),
            class: fleet_failures(FailureKind::Class(request.class)),
            plan: fleet_failures(FailureKind::Plan(request.plan)),
            unanswered: fleet_failures(FailureKind::Unanswered),
        }
    }

    /// Returns how an endpoint ranks, or `None` if it may not be sent the request.
    fn rank(
        &self,
        id: &RequestId,
        comparison: &Comparison,
        endpoint_id: EndpointId,
        random_state: &mut u64,
    ) -> Option<Rank> {
        if Some(endpoint_id) == comparison.exclude || !self.is_in_deduplication_group(id, endpoint_id) {
            return None;
        }
        let endpoint = &self.endpoints[&endpoint_id];
        let warm_fraction = self.warm_fraction(endpoint);
        let due_requests = (self.slow_start_clock - endpoint.slow_start_at) as f64 / 1e6;
        if warm_fraction < 1.0 && endpoint.slow_start_tokens + warm_fraction * due_requests < 1.0 {
            return None;
        }
        let availability = self.availability(id, endpoint)?;
        let is_in_subset = comparison.subset.contains(&endpoint_id);
        let is_warming_and_due = is_in_subset && warm_fraction < 1.0 && endpoint.consecutive_ejections == 0;
        Some(Rank {
            availability,
            is_beyond_subset: !is_in_subset,
            is_not_warming_and_due: !is_warming_and_due,
            cost: self.cost(comparison, endpoint, warm_fraction, random_state),
        })
    }

    /// Returns whether an endpoint is expected to respond, or `None` if it is recovering and the one attempt
    /// that tests it is in flight.
    fn availability(&self, id: &RequestId, endpoint: &ExpectedEndpoint) -> Option<Availability> {
        if endpoint.ejected_until > self.now || self.is_unresponsive(endpoint) {
            return Some(Availability::Unavailable);
        }
        if !self.is_recovering(endpoint) {
            return Some(Availability::Available);
        }
        let is_tested = endpoint.in_flight.last().is_some_and(|&sent_at| sent_at >= endpoint.ejected_until);
        let may_test = self.may_test_recovery(id, endpoint);
        (!is_tested).then_some(if may_test { Availability::Available } else { Availability::Untested })
    }

    /// Returns whether an endpoint's ejection is over and no attempt has succeeded since. An unresponsive
    /// endpoint is not recovering.
    pub(super) fn is_recovering(&self, endpoint: &ExpectedEndpoint) -> bool {
        let is_unavailable = endpoint.ejected_until > self.now || self.is_unresponsive(endpoint);
        !is_unavailable && endpoint.consecutive_ejections > 0
    }

    /// Returns whether a request may test a recovering endpoint. A safe request may do so at once, a keyed
    /// request after half the duration of the latest ejection, and a non-idempotent one after the whole
    /// duration; the latter two only within their budget.
    fn may_test_recovery(&self, id: &RequestId, endpoint: &ExpectedEndpoint) -> bool {
        let class = &self.settings.classes[self.requests[id].class];
        let untested_for = self.now - endpoint.ejected_until.max(endpoint.recovery_tested_at);
        let ejection = super::ejection_time(endpoint.consecutive_ejections - 1);
        match class.idempotency {
            Idempotency::Safe => true,
            Idempotency::Keyed => self.recovery_tests >= 1.0 && untested_for >= ejection / 2,
            Idempotency::NonIdempotent => self.recovery_tests >= 1.0 && untested_for >= ejection,
        }
    }

    fn cost(
        &self,
        comparison: &Comparison,
        endpoint: &ExpectedEndpoint,
        warm_fraction: f64,
        random_state: &mut u64,
    ) -> f64 {
        let exploration = comparison.exploration;
        let since_ejection = endpoint.in_flight.iter().filter(|&&sent_at| sent_at >= endpoint.ejected_until);
        let load = since_ejection.count() as f64;
        let drawn = -(1.0 - random_number(random_state)).ln();
        let slowness = (endpoint.latency / self.latency).clamp(0.25, 4.0);
        let wait = slowness * (load + 1.0 - exploration + exploration * drawn);
        let capacity = endpoint.entry.weight * warm_fraction.max(0.05);
        let is_near = endpoint.entry.zone == self.settings.zone;
        let distance = if is_near { 1.0 } else { 1.0 + 2.0 * self.settings.cross_zone_cost };
        let risk = self.failure_risk(comparison, endpoint);
        wait / capacity * distance * (1.0 + 10.0 * risk).powi(2)
    }

    fn failure_risk(&self, comparison: &Comparison, endpoint: &ExpectedEndpoint) -> f64 {
        let kinds = [comparison.class, comparison.plan, comparison.unanswered];
        if kinds.iter().all(|fleet| fleet.share <= 0.01) {
            return 0.0;
        }
        let share = |fleet: FleetFailures| {
            let own = endpoint.failures.get(&fleet.kind);
            own.map_or(fleet.share, |own| own.value(self.now, fleet.share))
        };
        let unanswered = share(comparison.unanswered) * (2.0 * comparison.exploration).min(1.0);
        share(comparison.class).max(share(comparison.plan)).max(unanswered)
    }

    /// Returns the active endpoints in the order of the ring, from this node's first position on.
    fn ring(&self) -> Vec<EndpointId> {
        let mut ring: Vec<EndpointId> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.entry.state == EndpointState::Active)
            .map(|(&id, _)| id)
            .collect();
        let first = self.settings.node_index as usize * ring.len() / self.settings.node_count as usize;
        ring.rotate_left(first);
        ring
    }

    /// Returns the endpoints of the node's subset, in the order of the ring.
    pub fn subset(&self) -> Vec<EndpointId> {
        let mut subset = self.ring();
        let size = (subset.len() * 24).div_ceil(self.settings.node_count as usize).max(12);
        subset.retain(|id| self.endpoints[id].ejected_until <= self.now);
        subset.truncate(size);
        subset
    }

    /// Returns the least share of its full capacity that an endpoint has, 0 to 1.
    pub(super) fn warm_fraction(&self, endpoint: &ExpectedEndpoint) -> f64 {
        let rules = &self.settings.warm_up;
        if endpoint.started_at == 0 {
            return 1.0;
        }
        let progress = (self.now - endpoint.started_at) as f64 / rules.duration as f64;
        let max_speed_factor = (rules.overload_multiple / 2.0).clamp(1.0, 1.5);
        let speed_factor = if endpoint.latency < self.latency { max_speed_factor } else { 1.0 };
        (speed_factor * (rules.initial_fraction + (1.0 - rules.initial_fraction) * progress)).min(1.0)
    }

    /// Returns whether an endpoint is unresponsive: it has attempts in flight and sends no responses.
    pub(super) fn is_unresponsive(&self, endpoint: &ExpectedEndpoint) -> bool {
        let mut since_ejection =
            endpoint.in_flight.iter().filter(|&&sent_at| sent_at >= endpoint.ejected_until);
        let Some(&oldest) = since_ejection.next() else { return false };
        let factor = if endpoint.in_flight.len() > 2 { 1.0 } else { 2.0 };
        (self.now - oldest.max(endpoint.last_response_at)) as f64 > self.latency_bound() * factor
    }

    /// Returns whether an endpoint drops repeats of a request that may have run. If the request has certainly
    /// not run, or is not keyed, this is true of every endpoint.
    fn is_in_deduplication_group(&self, id: &RequestId, endpoint: EndpointId) -> bool {
        let request = &self.requests[id];
        let class = &self.settings.classes[request.class];
        let entry = &self.endpoints[&endpoint].entry;
        match (class.idempotency, class.deduplication_scope, request.first_possible_run) {
            (Idempotency::Keyed, DeduplicationScope::Zone, Some(run)) => entry.zone == run.placement.zone,
            (Idempotency::Keyed, DeduplicationScope::Cell, Some(run)) => entry.cell == run.placement.cell,
            _ => true,
        }
    }
}

/// Returns the endpoints beyond the subset that are examined: for a repeat that is bound to a group, all of
/// them in the order of their ids; else a sample from a random start. Draws one random number in either case.
fn sample_beyond_subset(
    beyond_subset: &[EndpointId],
    is_bound: bool,
    random_state: &mut u64,
) -> Vec<EndpointId> {
    let step = beyond_subset.len().div_ceil(MAX_EXAMINED);
    let start = (random_number(random_state) * step as f64) as usize;
    if is_bound {
        let mut by_id = beyond_subset.to_vec();
        by_id.sort();
        by_id
    } else {
        beyond_subset.iter().copied().skip(start).step_by(step).collect()
    }
}

/// Returns the next random number in [0, 1) of the sequence that the node draws from.
pub fn random_number(state: &mut u64) -> f64 {
    let sum = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let once = (sum ^ (sum >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let twice = (once ^ (once >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    *state = twice ^ (twice >> 31);
    (*state >> 11) as f64 / (1u64 << 53) as f64
}

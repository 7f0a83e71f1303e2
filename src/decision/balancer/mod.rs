//! Load balancing: selects the endpoint of each attempt by subset, health, warm-up and cost.
//!
//! Reading order: this file, then `selection`, which compares endpoints, then `subset`, `slow_start`,
//! `outlier_detection`, `recovery` and `cost`, each of which holds one of the rules. `endpoint` and
//! `endpoint_table` hold the state.

mod cost;
mod deduplication_group;
mod endpoint;
mod endpoint_table;
mod failure_shares;
mod latency_estimator;
mod outlier_detection;
mod recovery;
mod selection;
mod slow_start;
mod subset;

use super::estimators::RandomSource;
use super::{
    EndpointEntry, EndpointId, EndpointUpdateKind, Idempotency, Micros, Outcome, Settings, WorkCounters,
};
use cost::CostModel;
use deduplication_group::DeduplicationGroup;
use endpoint_table::{EndpointTable, ListedEndpoint};
use failure_shares::{failure_samples, FailureShares};
use latency_estimator::LatencyEstimator;
use outlier_detection::{no_response_since, OutlierDetector};
use recovery::RecoveryTestBudget;
use selection::{Candidate, Selector};
use slow_start::{warm_fraction, SlowStart};
use subset::Subset;

pub(super) use endpoint::{EndpointBalancingState, COMPLETION_TIME_CONSTANT};

/// The mean response time of an endpoint is typical if it is below this multiple of the fleet's mean.
const TYPICAL_LATENCY_MULTIPLE: f64 = 2.0;

/// The zone and cell of an endpoint. A request keeps this copy, because the endpoint may be removed while
/// the request is pending.
#[derive(Clone, Copy)]
pub(super) struct Placement {
    pub zone: u32,
    pub cell: u32,
}

/// The attempt for which an endpoint is to be selected.
pub(super) struct SelectionRequest {
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Index of the request's plan in the settings.
    pub plan: usize,
    /// Zone and cell of the first attempt of the request that may have run; `None` if none may have run.
    pub first_possible_run: Option<Placement>,
    /// An endpoint that must not be selected, if any.
    pub exclude: Option<EndpointId>,
}

/// The endpoint that was selected for an attempt.
#[derive(Clone, Copy)]
pub(super) struct Selection {
    pub endpoint: EndpointId,
    /// Lower bound of the share of its full capacity that the endpoint has, 0 to 1.
    pub warm_fraction: f64,
    /// The kind of recovery test that the attempt is; `None` if the endpoint is not recovering.
    recovery_test: Option<RecoveryTest>,
}

/// The kind of a recovery test, by the idempotency of the request that it is for.
#[derive(Clone, Copy, PartialEq)]
enum RecoveryTest {
    OfSafeRequest,
    OfOtherRequest,
}

impl RecoveryTest {
    fn of(idempotency: Idempotency) -> Self {
        match idempotency {
            Idempotency::Safe => RecoveryTest::OfSafeRequest,
            Idempotency::Keyed | Idempotency::NonIdempotent => RecoveryTest::OfOtherRequest,
        }
    }
}

/// The end of an attempt, as a sample of the health and the response time of its endpoint.
pub(super) struct EndedAttemptSample {
    pub endpoint: EndpointId,
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Index of the request's plan in the settings.
    pub plan: usize,
    pub sent_at: Micros,
    pub outcome: Outcome,
    /// Time from the start of the attempt to its end.
    pub elapsed: Micros,
}

/// What an ended attempt tells the load shedder.
pub(super) struct RecordedAttempt {
    /// The response time of the attempt; `None` unless the attempt succeeded at an endpoint whose mean
    /// response time is typical.
    pub typical_response_time: Option<Micros>,
}

/// The endpoints with their health and load. Selects the endpoint of each attempt.
#[derive(Default)]
pub(super) struct Balancer {
    endpoints: EndpointTable,
    latency_estimator: LatencyEstimator,
    /// Shares of failed attempts over the fleet.
    fleet_failures: FailureShares,
    outlier_detector: OutlierDetector,
    recovery_tests: RecoveryTestBudget,
    slow_start: SlowStart,
}

impl Balancer {
    /// Creates a balancer that knows no endpoints.
    pub fn new(settings: &Settings) -> Self {
        Balancer { endpoints: EndpointTable::new(&settings.classes), ..Balancer::default() }
    }

    /// Applies an update of the endpoint list, and draws one random number for each entry. Does nothing if
    /// the watch was lost.
    pub fn apply_update(
        &mut self,
        kind: EndpointUpdateKind,
        entries: Vec<EndpointEntry>,
        now: Micros,
        random: &mut RandomSource,
    ) {
        let is_snapshot = match kind {
            EndpointUpdateKind::Snapshot | EndpointUpdateKind::StaleSnapshot => true,
            EndpointUpdateKind::Delta => false,
            EndpointUpdateKind::WatchLost => return,
        };
        // Every entry draws a random number, even if its endpoint is known already.
        let listed = entries
            .into_iter()
            .map(|entry| ListedEndpoint { entry, slow_start: self.slow_start.new_bucket(random) })
            .collect();
        self.endpoints.apply(listed, is_snapshot, now, self.latency_estimator.fleet_mean_latency());
    }

    /// Selects the endpoint that suits an attempt best. Returns `None` if no endpoint may be sent the
    /// attempt.
    ///
    /// A short endpoint list is examined in full; of a longer one, the endpoints of the node's subset are
    /// examined. An endpoint is skipped if the request excludes it, if deduplication binds the request to
    /// other endpoints, if it is warming up and not due a request, or if it is recovering and its recovery
    /// test is in flight. The remaining endpoints are compared by availability, membership in the subset,
    /// warm-up and cost, in this order. If none of them is available, endpoints beyond the subset are
    /// examined as well.
    pub fn select(
        &mut self,
        settings: &Settings,
        now: Micros,
        random: &mut RandomSource,
        request: &SelectionRequest,
    ) -> Option<Selection> {
        let subset = self.subset(settings, now);
        self.slow_start.set_subset_capacity(subset.capacity());
        let selector = self.selector(settings, now, request, &subset);
        let mut best = selector.best_of_always_examined(random);
        if subset.has_unexamined_positions() && !best.as_ref().is_some_and(Candidate::is_available) {
            best = selector.or_better_beyond_subset(best, random);
        }
        best.map(|best| Selection {
            endpoint: best.endpoint,
            warm_fraction: best.warm_fraction,
            recovery_test: best.is_recovery_test.then_some(RecoveryTest::of(selector.idempotency)),
        })
    }

    fn subset(&self, settings: &Settings, now: Micros) -> Subset {
        let fleet_mean_latency = self.latency_estimator.fleet_mean_latency();
        Subset::at(now, settings, &self.endpoints, |endpoint| {
            warm_fraction(&settings.warm_up, endpoint, fleet_mean_latency, now)
        })
    }

    fn selector<'a>(
        &'a self,
        settings: &'a Settings,
        now: Micros,
        request: &SelectionRequest,
        subset: &'a Subset,
    ) -> Selector<'a> {
        let class = &settings.classes[request.class];
        let fleet_mean_latency = self.latency_estimator.fleet_mean_latency();
        let endpoints = &self.endpoints;
        Selector {
            settings,
            now,
            endpoints,
            subset,
            slow_start: &self.slow_start,
            fleet_mean_latency,
            latency_bound: self.latency_bound(),
            cost_model: CostModel::new(
                settings,
                now,
                request,
                endpoints,
                fleet_mean_latency,
                &self.fleet_failures,
            ),
            bound_to: request
                .first_possible_run
                .and_then(|placement| DeduplicationGroup::binding(class, placement)),
            exclude: request.exclude,
            idempotency: class.idempotency,
            recovery_tests: &self.recovery_tests,
        }
    }

    /// Records that a request was admitted: it has been sent to an endpoint or waits for one.
    pub fn request_admitted(&mut self) {
        self.slow_start.request_admitted();
        self.recovery_tests.deposit();
    }

    /// Records that an attempt starts at the selected endpoint, and returns the endpoint's zone and cell.
    /// Returns `None` if the endpoint is no longer known.
    pub fn attempt_started(&mut self, selection: Selection, now: Micros) -> Option<Placement> {
        let endpoint = self.endpoints.attempt_started(selection.endpoint, now)?;
        self.slow_start.charge(endpoint, selection.warm_fraction);
        if selection.recovery_test.is_some() {
            endpoint.recovery_tested_at = now;
        }
        if selection.recovery_test == Some(RecoveryTest::OfOtherRequest) {
            self.recovery_tests.withdraw();
        }
        Some(Placement { zone: endpoint.entry.zone, cell: endpoint.entry.cell })
    }

    /// Records how an attempt ended. Returns `None` if the endpoint or the attempt is no longer known.
    pub fn attempt_ended(&mut self, now: Micros, ended: &EndedAttemptSample) -> Option<RecordedAttempt> {
        let latency_bound = self.latency_bound();
        let endpoint = self.endpoints.attempt_ended(ended.endpoint, ended.sent_at)?;
        let unanswered = is_unanswered(endpoint, ended, latency_bound);
        for sample in failure_samples(ended.class, ended.plan, ended.outcome, unanswered) {
            endpoint.failures.record(&sample, now);
            self.fleet_failures.record(&sample, now);
        }
        let must_eject = self.outlier_detector.record_and_decide_ejection(endpoint, ended, now);
        let mut typical_response_time = None;
        match ended.outcome {
            Outcome::Ok => {
                self.latency_estimator.observe(ended.elapsed);
                if has_typical_latency(endpoint, self.latency_estimator.fleet_mean_latency()) {
                    typical_response_time = Some(ended.elapsed);
                }
                endpoint.record_success(ended.sent_at, ended.elapsed, now);
            }
            // An error response shows only that the endpoint is alive. It is no sample of the response time
            // or of the completion rate, since an endpoint that fails fast would seem idle and fast.
            Outcome::Error => endpoint.last_response_at = now,
            // A request whose connection was reset no longer loads the endpoint. Overload is judged by the
            // completion rate, so it includes such requests.
            Outcome::Reset if !must_eject => endpoint.record_completion(now),
            _ => {}
        }
        if must_eject {
            endpoint.eject(now);
        }
        Some(RecordedAttempt { typical_response_time })
    }

    /// Returns whether an attempt is stuck: it has been in flight for longer than the latency bound, at an
    /// endpoint that is ejected or unresponsive.
    pub fn is_stuck(&self, endpoint: EndpointId, sent_at: Micros, now: Micros) -> bool {
        let latency_bound = self.latency_bound();
        let is_unavailable = self
            .endpoints
            .get(endpoint)
            .is_some_and(|endpoint| endpoint.is_unresponsive(latency_bound, now) || endpoint.is_ejected(now));
        is_unavailable && now.saturating_sub(sent_at) as f64 > latency_bound
    }

    /// Ejects an endpoint, unless it is unknown or already ejected.
    pub fn eject(&mut self, id: EndpointId, now: Micros) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.eject(now);
        }
    }

    /// Ejects all endpoints that are unresponsive.
    pub fn eject_unresponsive(&mut self, now: Micros) {
        let latency_bound = self.latency_bound();
        let traffic = self.endpoints.with_traffic();
        let unresponsive: Vec<EndpointId> = traffic
            .filter(|endpoint| endpoint.is_unresponsive(latency_bound, now))
            .map(|endpoint| endpoint.entry.id)
            .collect();
        for id in unresponsive {
            self.eject(id, now);
        }
    }

    /// Returns the mean response time of the fleet in microseconds.
    pub fn fleet_mean_latency(&self) -> f64 {
        self.latency_estimator.fleet_mean_latency()
    }

    /// Returns the latency bound in microseconds: an attempt that is in flight for longer takes more time
    /// than the fleet usually needs.
    pub fn latency_bound(&self) -> f64 {
        self.latency_estimator.latency_bound()
    }

    /// Returns the typical endpoints that have traffic, in the order of their ids. An endpoint is typical if
    /// it is active, has had no ejection since its last success or restart, is not unresponsive, and has a
    /// mean response time below [`TYPICAL_LATENCY_MULTIPLE`] times the fleet's. Overload is judged by typical
    /// endpoints.
    pub fn typical_endpoints(&self, now: Micros) -> impl Iterator<Item = &EndpointBalancingState> {
        let fleet_mean_latency = self.latency_estimator.fleet_mean_latency();
        let latency_bound = self.latency_bound();
        self.endpoints.with_traffic().filter(move |endpoint| {
            endpoint.is_active()
                && endpoint.consecutive_ejections == 0
                && has_typical_latency(endpoint, fleet_mean_latency)
                && !endpoint.is_unresponsive(latency_bound, now)
        })
    }

    /// Drops removed endpoints that have no attempts in flight, and old traffic.
    pub fn drop_unneeded_state(&mut self, now: Micros) {
        self.endpoints.drop_unneeded_state(now);
    }

    /// Returns the number of endpoints for which state is kept.
    pub fn retained_endpoints(&self) -> usize {
        self.endpoints.retained_count()
    }

    /// Returns the work done since the start of the node.
    pub fn work_counters(&self) -> WorkCounters {
        WorkCounters {
            endpoints_examined: self.endpoints.endpoints_examined(),
            entries_changed: self.endpoints.entries_changed(),
        }
    }
}

/// Returns whether the mean response time of an endpoint is typical in a fleet whose mean response time is
/// `fleet_mean_latency` microseconds.
fn has_typical_latency(endpoint: &EndpointBalancingState, fleet_mean_latency: f64) -> bool {
    endpoint.latency < TYPICAL_LATENCY_MULTIPLE * fleet_mean_latency
}

/// Returns whether an attempt ended without a response after more than `latency_bound` microseconds, and its
/// endpoint has sent no success or error response since the attempt started.
fn is_unanswered(endpoint: &EndpointBalancingState, ended: &EndedAttemptSample, latency_bound: f64) -> bool {
    matches!(ended.outcome, Outcome::TimedOut | Outcome::Cancelled)
        && no_response_since(endpoint, ended.sent_at)
        && ended.elapsed as f64 > latency_bound
}

//! Load balancing: which endpoint an attempt is sent to, by subset, health, warm-up and cost.
//!
//! Reading order: this file, then `selection` (the rules for one endpoint), then `subset`, `slow_start`,
//! `outlier_detection`, `recovery` and `cost`, each with one of the rules. `endpoint` and `endpoint_table`
//! hold the state.

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

pub(super) use endpoint::{Endpoint, COMPLETION_TIME_CONSTANT};

/// An endpoint is about as fast as the others if its response time is below this multiple of theirs.
const TYPICAL_LATENCY_MULTIPLE: f64 = 2.0;

/// The zone and cell of an endpoint: what a request keeps of it, since it may be removed meanwhile.
#[derive(Clone, Copy)]
pub(super) struct Placement {
    pub zone: u32,
    pub cell: u32,
}

/// What an endpoint is wanted for.
pub(super) struct SelectionRequest {
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Index of the request's plan in the settings.
    pub plan: usize,
    /// Where the first attempt that may have run was sent, if there was one.
    pub first_possible_run: Option<Placement>,
    /// An endpoint that is not to be selected.
    pub exclude: Option<EndpointId>,
}

/// The endpoint that was selected.
#[derive(Clone, Copy)]
pub(super) struct Selection {
    pub endpoint: EndpointId,
    /// The share of its full capacity that it has at least, 0 to 1.
    pub warm_fraction: f64,
    /// The test of a recovering endpoint that the attempt is, if it is one.
    recovery_test: Option<RecoveryTest>,
}

/// A test of a recovering endpoint, by the idempotency of the request.
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

/// An ended attempt as a sample of the health and speed of its endpoint.
pub(super) struct EndedAttemptSample {
    pub endpoint: EndpointId,
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Index of the request's plan in the settings.
    pub plan: usize,
    pub sent_at: Micros,
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Micros,
}

/// What an ended attempt says about the load.
pub(super) struct RecordedAttempt {
    /// The response time, if the endpoint is about as fast as the others.
    pub typical_response_time: Option<Micros>,
}

/// The endpoints, their health and load, and the selection among them.
#[derive(Default)]
pub(super) struct Balancer {
    endpoints: EndpointTable,
    latency_estimator: LatencyEstimator,
    /// How attempts end over the fleet.
    fleet_failures: FailureShares,
    outlier_detector: OutlierDetector,
    recovery_tests: RecoveryTestBudget,
    slow_start: SlowStart,
}

impl Balancer {
    /// A balancer that knows no endpoints yet.
    pub fn new(settings: &Settings) -> Self {
        Balancer { endpoints: EndpointTable::new(&settings.classes), ..Balancer::default() }
    }

    /// Applies an update of the endpoint list.
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
        // Each entry draws a random number, whether or not its endpoint is new.
        let listed = entries
            .into_iter()
            .map(|entry| ListedEndpoint { entry, slow_start: self.slow_start.new_bucket(random) })
            .collect();
        self.endpoints.apply(listed, is_snapshot, now, self.latency_estimator.fleet_mean_latency());
    }

    /// Selects the endpoint where an attempt should do best, if any may be sent it.
    ///
    /// The endpoints of the node's subset are examined; of a short list all of it. An endpoint is passed over
    /// when deduplication binds the request to others, when it is warming up and not due a request, or when
    /// it is recovering and the attempt that tests it is in flight. Of those left the best is selected by
    /// availability, membership in the subset, warm-up and cost, in this order. If none is available,
    /// endpoints beyond the subset are examined as well.
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
        let mut best = selector.best_of_first(random);
        if subset.leaves_a_rest() && !best.as_ref().is_some_and(Candidate::is_available) {
            best = selector.or_better_of_rest(best, random);
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

    /// A request has been passed on to an endpoint, or waits for one.
    pub fn request_launched(&mut self) {
        self.slow_start.request_launched();
        self.recovery_tests.deposit();
    }

    /// An attempt starts at the selected endpoint. None if the endpoint is not known any more.
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

    /// Records how an attempt ended. None if the endpoint or the attempt is not known any more.
    pub fn attempt_ended(&mut self, now: Micros, ended: &EndedAttemptSample) -> Option<RecordedAttempt> {
        let latency_bound = self.latency_bound();
        let endpoint = self.endpoints.attempt_ended(ended.endpoint, ended.sent_at)?;
        let unanswered = is_unanswered(endpoint, ended, latency_bound);
        for sample in failure_samples(ended.class, ended.plan, ended.outcome, unanswered) {
            endpoint.failures.record(&sample, now);
            self.fleet_failures.record(&sample, now);
        }
        let must_eject = self.outlier_detector.must_eject(endpoint, ended, now);
        let mut typical_response_time = None;
        match ended.outcome {
            Outcome::Ok => {
                self.latency_estimator.observe(ended.elapsed);
                if has_typical_latency(endpoint, self.latency_estimator.fleet_mean_latency()) {
                    typical_response_time = Some(ended.elapsed);
                }
                endpoint.record_success(ended.sent_at, ended.elapsed, now);
            }
            // An endpoint that fails fast seems idle and quick. Its response shows that it is alive, and no
            // more.
            Outcome::Error => endpoint.last_response_at = now,
            // A request whose connection was reset has left the endpoint, and overload is judged by the rate
            // at which requests leave.
            Outcome::Reset if !must_eject => endpoint.record_completion(now),
            _ => {}
        }
        if must_eject {
            endpoint.eject(now);
        }
        Some(RecordedAttempt { typical_response_time })
    }

    /// Whether an attempt in flight has waited too long at an endpoint that is ejected or unresponsive.
    pub fn is_stuck(&self, endpoint: EndpointId, sent_at: Micros, now: Micros) -> bool {
        let latency_bound = self.latency_bound();
        let is_unavailable = self
            .endpoints
            .get(endpoint)
            .is_some_and(|endpoint| endpoint.is_unresponsive(latency_bound, now) || endpoint.is_ejected(now));
        is_unavailable && now.saturating_sub(sent_at) as f64 > latency_bound
    }

    /// Ejects an endpoint, unless it is ejected already.
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

    /// The mean response time of the fleet in microseconds.
    pub fn fleet_mean_latency(&self) -> f64 {
        self.latency_estimator.fleet_mean_latency()
    }

    /// An attempt in flight for longer than this many microseconds is past what the fleet usually needs.
    pub fn latency_bound(&self) -> f64 {
        self.latency_estimator.upper_bound()
    }

    /// The endpoints with traffic that are healthy and about as fast as the others, in the order of their
    /// ids. Overload is judged by them.
    pub fn typical_endpoints(&self, now: Micros) -> impl Iterator<Item = &Endpoint> {
        let fleet_mean_latency = self.latency_estimator.fleet_mean_latency();
        let latency_bound = self.latency_bound();
        self.endpoints.with_traffic().filter(move |endpoint| {
            endpoint.is_active()
                && endpoint.consecutive_ejections == 0
                && has_typical_latency(endpoint, fleet_mean_latency)
                && !endpoint.is_unresponsive(latency_bound, now)
        })
    }

    /// Forgets removed endpoints without attempts in flight, and old traffic.
    pub fn forget_removed(&mut self, now: Micros) {
        self.endpoints.forget_removed(now);
    }

    /// How many endpoints something is kept of.
    pub fn retained_endpoints(&self) -> usize {
        self.endpoints.retained_count()
    }

    /// How much work was done since the start.
    pub fn work_counters(&self) -> WorkCounters {
        WorkCounters {
            endpoints_examined: self.endpoints.endpoints_examined(),
            entries_changed: self.endpoints.entries_changed(),
        }
    }
}

/// Whether an endpoint is about as fast as the fleet, whose mean response time is given.
fn has_typical_latency(endpoint: &Endpoint, fleet_mean_latency: f64) -> bool {
    endpoint.latency < TYPICAL_LATENCY_MULTIPLE * fleet_mean_latency
}

/// Whether an attempt went without a response for longer than the fleet usually needs, at an endpoint that
/// has sent no response since.
fn is_unanswered(endpoint: &Endpoint, ended: &EndedAttemptSample, latency_bound: f64) -> bool {
    matches!(ended.outcome, Outcome::TimedOut | Outcome::Cancelled)
        && no_response_since(endpoint, ended.sent_at)
        && ended.elapsed as f64 > latency_bound
}

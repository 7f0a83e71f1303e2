//! Recovery of ejected endpoints: decides which request may test whether an endpoint serves again, and when.
//!
//! An ejection ends by itself after the ejection duration. From then until an attempt succeeds, the endpoint
//! is recovering. These rules hold for attempts at a recovering endpoint:
//!
//! 1. It is sent one attempt at a time, whichever request that is for.
//! 2. A request of a safe class may test it at once: if the test fails, the request is retried at another
//!    endpoint.
//! 3. A keyed request may test it once it has been untested for half as long as its latest ejection lasted, a
//!    non-idempotent request once it has been untested for as long. The time runs from the end of the
//!    ejection or from the latest test, so it grows with the ejection duration. A failed test may cost such a
//!    request its response. Therefore safer requests get the first chance to test the endpoint, for a limited
//!    time. After that time, this request may test it too.
//! 4. Tests by requests that are not safe are bounded to a share of all requests ([`RecoveryTestBudget`]).
//! 5. If no endpoint is available, the panic threshold is reached: a recovering endpoint may be sent any
//!    request, still one at a time, and is preferred to endpoints that are ejected or unresponsive.
//!
//! A recovery test is an attempt like any other: a non-idempotent request is retried only if it is certain
//! that the test never ran (`attempts::retry_policy`).

use super::endpoint::EndpointBalancingState;
use crate::decision::{Idempotency, Micros};

/// Number of tests that each request adds to the budget for requests that are not safe.
const TESTS_PER_REQUEST: f64 = 0.1;
/// Maximum number of tests that the budget holds.
const MAX_SAVED_TESTS: f64 = 2.0;

/// Bounds the recovery tests by requests that are not safe to a share of all requests.
pub(super) struct RecoveryTestBudget {
    /// How many such tests may start now, 0 to `MAX_SAVED_TESTS`.
    saved_tests: f64,
}

impl Default for RecoveryTestBudget {
    /// Creates a budget that is half full.
    fn default() -> Self {
        RecoveryTestBudget { saved_tests: MAX_SAVED_TESTS / 2.0 }
    }
}

impl RecoveryTestBudget {
    /// Adds to the budget for a request that was sent to an endpoint or waits for one.
    pub fn deposit(&mut self) {
        self.saved_tests = (self.saved_tests + TESTS_PER_REQUEST).min(MAX_SAVED_TESTS);
    }

    /// Takes a test out of the budget for a request that is not safe. The budget does not go below 0: if no
    /// endpoint is available (the panic threshold), an endpoint may be tested without a test in the budget.
    pub fn withdraw(&mut self) {
        self.saved_tests = (self.saved_tests - 1.0).max(0.0);
    }

    /// Returns whether a request of this idempotency may test a recovering endpoint at `now`.
    pub fn allows_test(
        &self,
        endpoint: &EndpointBalancingState,
        idempotency: Idempotency,
        now: Micros,
    ) -> bool {
        let untested_since = endpoint.ejected_until.max(endpoint.recovery_tested_at);
        let may_test_at = untested_since + time_reserved_for_safer_requests(endpoint, idempotency);
        match idempotency {
            Idempotency::Safe => true,
            Idempotency::Keyed | Idempotency::NonIdempotent => self.saved_tests >= 1.0 && now >= may_test_at,
        }
    }
}

/// Returns the time, in microseconds, for which a recovering endpoint is reserved for requests to which a
/// failed test does less harm.
fn time_reserved_for_safer_requests(endpoint: &EndpointBalancingState, idempotency: Idempotency) -> Micros {
    match idempotency {
        Idempotency::Safe => 0,
        Idempotency::Keyed => endpoint.latest_ejection_duration() / 2,
        Idempotency::NonIdempotent => endpoint.latest_ejection_duration(),
    }
}

//! Recovery of ejected endpoints: which request may show whether an endpoint serves again, and when.
//!
//! An ejection ends by itself after its backoff; from then until an attempt succeeds the endpoint is
//! recovering. The rule for attempts at a recovering endpoint:
//!
//! 1. One attempt at a time, whichever request it is for.
//! 2. A request of a safe class may test it at once: if the test fails, it is sent again elsewhere.
//! 3. A keyed request may test it once it was left untested for half as long as its latest ejection lasted,
//!    a non-idempotent one after as long. The time runs from the end of the ejection or from the latest
//!    test, so it grows with the backoff. A failed test may cost such a request its response, so classes
//!    that bear a repeat go first where they come along; where none does, the endpoint is tested all the
//!    same.
//! 4. Tests by requests that are not safe are bounded to a share of all requests ([`RecoveryTestBudget`]).
//! 5. Where no endpoint is available (the panic threshold), a recovering endpoint takes any request, still
//!    one at a time, and goes before those that are ejected or unresponsive.
//!
//! A test is an attempt like any other: a non-idempotent request is sent again only if the test certainly
//! never ran (`attempts::retry_policy`).

use super::endpoint::Endpoint;
use crate::decision::{Idempotency, Micros};

/// How many tests by requests that are not safe each request adds to the budget.
const TESTS_PER_REQUEST: f64 = 0.1;
/// The most such tests that the budget saves up.
const MAX_SAVED_TESTS: f64 = 2.0;

/// Bounds the tests by requests that are not safe to a share of all requests.
pub(super) struct RecoveryTestBudget {
    saved_tests: f64,
}

impl Default for RecoveryTestBudget {
    /// A budget that is half full.
    fn default() -> Self {
        RecoveryTestBudget { saved_tests: MAX_SAVED_TESTS / 2.0 }
    }
}

impl RecoveryTestBudget {
    /// A request was passed on to an endpoint, or waits for one.
    pub fn deposit(&mut self) {
        self.saved_tests = (self.saved_tests + TESTS_PER_REQUEST).min(MAX_SAVED_TESTS);
    }

    /// A request that is not safe tests an endpoint. Without one saved up, as at the panic threshold, nothing
    /// is taken.
    pub fn withdraw(&mut self) {
        self.saved_tests = (self.saved_tests - 1.0).max(0.0);
    }

    /// Whether a request of this idempotency may test a recovering endpoint now.
    pub fn allows_test(&self, endpoint: &Endpoint, idempotency: Idempotency, now: Micros) -> bool {
        let untested_since = endpoint.ejected_until.max(endpoint.recovery_tested_at);
        let may_test_at = untested_since + time_left_to_safer_requests(endpoint, idempotency);
        match idempotency {
            Idempotency::Safe => true,
            Idempotency::Keyed | Idempotency::NonIdempotent => self.saved_tests >= 1.0 && now >= may_test_at,
        }
    }
}

/// How long a recovering endpoint is left to requests that bear a failed test better.
fn time_left_to_safer_requests(endpoint: &Endpoint, idempotency: Idempotency) -> Micros {
    match idempotency {
        Idempotency::Safe => 0,
        Idempotency::Keyed => endpoint.latest_ejection_time() / 2,
        Idempotency::NonIdempotent => endpoint.latest_ejection_time(),
    }
}

//! Defines the names of the protocol's HTTP headers.

use hyper::header::HeaderName;

/// `X-Request-Id`: the id of the request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// `X-Class`: the name of the request class.
pub const REQUEST_CLASS: HeaderName = HeaderName::from_static("x-class");
/// `X-Tariff`: the name of the account's plan.
pub const PLAN: HeaderName = HeaderName::from_static("x-tariff");
/// `X-Weight`: the units of its account's quota that the request uses (`units`), the number of nodes that
/// receive the account's requests (`spread`), and the index of the first of these nodes (`first`).
pub const WEIGHT: HeaderName = HeaderName::from_static("x-weight");
/// `X-Deadline-Ms`: how long the sender waits for the response, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// `X-Retry`: marks a request as a client's retry of an earlier request.
pub const RETRY: HeaderName = HeaderName::from_static("x-retry");
/// `Idempotency-Key`: the key by which endpoints recognise and drop a repeat of a request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// `X-Not-Run`: on an error response of an endpoint, says that the request did not run.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

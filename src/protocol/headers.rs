//! The names of the HTTP headers that the protocol defines.

use hyper::header::HeaderName;

/// Identifies the request: `X-Request-Id`.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// The name of the request's class: `X-Class`.
pub const REQUEST_CLASS: HeaderName = HeaderName::from_static("x-class");
/// The name of the account's plan: `X-Tariff`.
pub const PLAN: HeaderName = HeaderName::from_static("x-tariff");
/// The weight of the request on its account's quota: the units that it uses (`units`), the number of nodes that get
/// the account's requests (`spread`), and the first of these nodes (`first`): `X-Weight`.
pub const WEIGHT: HeaderName = HeaderName::from_static("x-weight");
/// How long the sender waits for the response, in milliseconds: `X-Deadline-Ms`.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Marks a client's retry of an earlier request: `X-Retry`.
pub const RETRY: HeaderName = HeaderName::from_static("x-retry");
/// The key by which endpoints drop a repeat of a request: `Idempotency-Key`.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// On an endpoint's error response: the request did not run, `X-Not-Run`.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

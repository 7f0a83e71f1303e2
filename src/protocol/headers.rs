//! Defines the names of the protocol's HTTP headers.

use hyper::header::HeaderName;

/// `X-Request-Id`: the id of the request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// `X-Class`: the name of the request class.
pub const REQUEST_CLASS: HeaderName = HeaderName::from_static("x-class");
/// `X-Tariff`: the name of the account's plan.
pub const PLAN: HeaderName = HeaderName::from_static("x-tariff");
/// `X-Weight`, with three parts. `units`: how many units of the account's quota the request uses. `spread`:
/// the number of nodes that receive the account's requests. `first`: the index of the first of these nodes.
pub const WEIGHT: HeaderName = HeaderName::from_static("x-weight");
/// `X-Deadline-Ms`: how long the sender waits for the response, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// `X-Retry`: `1` marks a request as a client's retry of an earlier request; any other value is ignored.
pub const RETRY: HeaderName = HeaderName::from_static("x-retry");
/// `Idempotency-Key`: the key by which endpoints recognise and drop a repeat of a request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// `X-Not-Run`: `1` on an endpoint's response with status 503 or 504 says that the request did not run; any
/// other value, or the header on any other response, is ignored.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

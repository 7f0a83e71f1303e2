//! Validates client requests, with one function for each rule. A request that violates a rule is not handed
//! to the decision engine.

use std::str::FromStr;

use hyper::header::HeaderName;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode};
use thiserror::Error;

use crate::decision::{AccountId, Idempotency, Micros, NewRequest, RequestId};
use crate::protocol::headers;
use crate::protocol::settings::{ClassDocument, SettingsDocument};

/// The largest length of a request id in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// The longest deadline that a client may give, in milliseconds from now.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// The exclusive upper bound of account ids.
const ACCOUNT_ID_LIMIT: u64 = 1 << 33;
/// The number of hexadecimal digits of an account id.
const ACCOUNT_ID_DIGITS: usize = 16;
/// The query parameter that names the account.
const ACCOUNT_PARAMETER: &str = "key=";
/// The headers that a request must not repeat.
const SINGLE_HEADERS: [HeaderName; 7] = [
    headers::REQUEST_ID,
    headers::REQUEST_CLASS,
    headers::PLAN,
    headers::DEADLINE,
    headers::WEIGHT,
    headers::RETRY,
    headers::IDEMPOTENCY_KEY,
];

/// The reason why a request is not handed to the decision engine. Its text is the body of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The path accepts only `GET`, and the request has another method.
    #[error("GET alone is served here")]
    MethodNotAllowed,
    /// The headers do not determine unambiguously where the body ends.
    #[error("a body has a length or comes in chunks, not both and in no other encoding")]
    AmbiguousFraming,
    /// A header that must not be repeated is repeated.
    #[error("a header comes twice")]
    RepeatedHeader,
    /// The request id is missing, empty or longer than `MAX_REQUEST_ID_BYTES`.
    #[error("no id")]
    NoRequestId,
    /// The header with the request class is missing.
    #[error("no class")]
    NoClass,
    /// The settings have no request class of the given name.
    #[error("no such class")]
    UnknownClass,
    /// The first segment of the path is not the name of the request class.
    #[error("the path is not the class's")]
    PathMismatch,
    /// The method, or the presence of an idempotency key, does not match the idempotency of the request
    /// class.
    #[error("method and key are not the class's")]
    MethodMismatch,
    /// The plan is missing or unknown.
    #[error("no such plan")]
    UnknownPlan,
    /// The account is missing, malformed, out of range or named twice.
    #[error("no key of 16 hex digits")]
    NoAccount,
    /// The deadline is missing, malformed or longer than `MAX_DEADLINE_MS`.
    #[error("no deadline in milliseconds")]
    NoDeadline,
    /// The weight header is missing or malformed, or a value in it is out of range.
    #[error("no weight")]
    NoWeight,
    /// A `GET` has a body.
    #[error("a GET has no body")]
    BodyOfGet,
    /// The body is longer than 64 KiB.
    #[error("the body is longer than 64 KiB")]
    BodyTooLong,
    /// The body ends early or is malformed, so it can't be read in full.
    #[error("the body is not whole")]
    BodyIncomplete,
    /// Bytes that cannot begin another request follow the body, so its stated length may be too small.
    #[error("more bytes than the body's length")]
    BytesAfterBody,
    /// The body did not arrive in time.
    #[error("the body came too late")]
    BodyTimeout,
    /// The request target is in absolute form and has no path.
    #[error("no path")]
    NoPath,
    /// Another request with the same id is still open, or may have run for a client that has left.
    #[error("id in use")]
    IdInUse,
}

impl RequestError {
    /// Returns the status of the response to the invalid request.
    pub fn status(self) -> StatusCode {
        match self {
            RequestError::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RequestError::IdInUse => StatusCode::CONFLICT,
            RequestError::AmbiguousFraming
            | RequestError::RepeatedHeader
            | RequestError::NoRequestId
            | RequestError::NoClass
            | RequestError::UnknownClass
            | RequestError::PathMismatch
            | RequestError::MethodMismatch
            | RequestError::UnknownPlan
            | RequestError::NoAccount
            | RequestError::NoDeadline
            | RequestError::NoWeight
            | RequestError::BodyOfGet
            | RequestError::BodyIncomplete
            | RequestError::BytesAfterBody
            | RequestError::NoPath => StatusCode::BAD_REQUEST,
        }
    }
}

/// The rules for valid requests that follow from the settings.
pub struct RequestRules {
    classes: Vec<ClassRule>,
    /// The names of the plans, by plan index.
    plans: Vec<String>,
    /// The number of nodes; at least 1.
    node_count: u32,
    /// The largest number of units of one request.
    max_request_units: f64,
}

/// The rules for requests of one class.
struct ClassRule {
    /// The name of the class, which is also the first segment of the path.
    name: String,
    /// Determines the method, and whether an idempotency key is required or forbidden.
    idempotency: Idempotency,
}

/// The class of a request: its index in the settings and its rule.
struct ClassMatch<'a> {
    index: usize,
    rule: &'a ClassRule,
}

/// The content of the weight header ([`headers::WEIGHT`]).
struct UnitsAndAccountNodes {
    /// How many units of the account's quota the request uses.
    units: f64,
    /// The number of nodes that get the account's requests.
    account_node_count: u32,
    /// The index of the first of these nodes.
    first_account_node: u32,
}

impl From<&ClassDocument> for ClassRule {
    fn from(document: &ClassDocument) -> Self {
        ClassRule { name: document.name.clone(), idempotency: document.idempotency.into() }
    }
}

impl RequestRules {
    /// Derives the rules from the settings. A `max_request_units` of 0 or less means no limit.
    pub fn new(settings: &SettingsDocument) -> Self {
        let max_request_units = settings.accounting.max_request_units;
        RequestRules {
            classes: settings.classes.iter().map(ClassRule::from).collect(),
            plans: settings.plans.iter().map(|plan| plan.name.clone()).collect(),
            node_count: settings.node_count.max(1),
            max_request_units: if max_request_units > 0.0 { max_request_units } else { f64::MAX },
        }
    }

    /// Validates the head of a request received at `received_at` (Unix time in microseconds), and returns the
    /// data that the decision engine needs.
    ///
    /// # Errors
    /// Returns the error of the first rule that the request violates.
    pub fn validate(&self, head: &Parts, received_at: Micros) -> Result<NewRequest, RequestError> {
        reject_repeated_headers(&head.headers)?;
        let id = request_id(&head.headers)?;
        let class = self.class(&head.headers)?;
        require_path_of_class(head.uri.path(), class.rule)?;
        require_method_of_class(&head.method, &head.headers, class.rule)?;
        let plan = self.plan(&head.headers)?;
        let account = account(head.uri.query())?;
        let deadline_ms = deadline_ms(&head.headers)?;
        let weight_header = self.units_and_account_nodes(&head.headers)?;
        Ok(NewRequest {
            id,
            account,
            class: class.index,
            plan,
            units: weight_header.units,
            first_account_node: weight_header.first_account_node,
            account_node_count: weight_header.account_node_count,
            is_retry: header_text(&head.headers, &headers::RETRY) == Some("1"),
            deadline: received_at + deadline_ms * 1000,
        })
    }

    fn class(&self, headers: &HeaderMap) -> Result<ClassMatch<'_>, RequestError> {
        let name = header_text(headers, &headers::REQUEST_CLASS).ok_or(RequestError::NoClass)?;
        let mut rules = self.classes.iter().enumerate();
        let (index, rule) = rules.find(|(_, rule)| rule.name == name).ok_or(RequestError::UnknownClass)?;
        Ok(ClassMatch { index, rule })
    }

    fn plan(&self, headers: &HeaderMap) -> Result<usize, RequestError> {
        let name = header_text(headers, &headers::PLAN).ok_or(RequestError::UnknownPlan)?;
        self.plans.iter().position(|plan| plan == name).ok_or(RequestError::UnknownPlan)
    }

    fn units_and_account_nodes(&self, headers: &HeaderMap) -> Result<UnitsAndAccountNodes, RequestError> {
        header_text(headers, &headers::WEIGHT)
            .and_then(parse_weight)
            .filter(|weight_header| self.is_in_range(weight_header))
            .ok_or(RequestError::NoWeight)
    }

    fn is_in_range(&self, weight_header: &UnitsAndAccountNodes) -> bool {
        weight_header.units > 0.0
            && weight_header.units <= self.max_request_units
            && (1..=self.node_count).contains(&weight_header.account_node_count)
            && weight_header.first_account_node < self.node_count
    }
}

fn reject_repeated_headers(headers: &HeaderMap) -> Result<(), RequestError> {
    let is_repeated = |name: &HeaderName| headers.get_all(name).iter().nth(1).is_some();
    if SINGLE_HEADERS.iter().any(is_repeated) {
        return Err(RequestError::RepeatedHeader);
    }
    Ok(())
}

fn request_id(headers: &HeaderMap) -> Result<RequestId, RequestError> {
    header_text(headers, &headers::REQUEST_ID)
        .filter(|id| !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES)
        .map(RequestId::from)
        .ok_or(RequestError::NoRequestId)
}

/// Requires that the first segment of the path is the name of the class.
fn require_path_of_class(path: &str, class: &ClassRule) -> Result<(), RequestError> {
    if path.split('/').nth(1) != Some(&class.name) {
        return Err(RequestError::PathMismatch);
    }
    Ok(())
}

/// Requires the method that matches the idempotency of the class, and that an idempotency key is present if
/// the class is keyed and absent if it is non-idempotent.
fn require_method_of_class(
    method: &Method,
    headers: &HeaderMap,
    class: &ClassRule,
) -> Result<(), RequestError> {
    let has_key = headers.contains_key(headers::IDEMPOTENCY_KEY);
    let fits = match class.idempotency {
        Idempotency::Safe => method == Method::GET,
        Idempotency::Keyed => method == Method::POST && has_key,
        Idempotency::NonIdempotent => method == Method::POST && !has_key,
    };
    if !fits {
        return Err(RequestError::MethodMismatch);
    }
    Ok(())
}

/// Returns the account that the query names. The query has to name exactly one.
fn account(query: Option<&str>) -> Result<AccountId, RequestError> {
    let parameters = query.unwrap_or_default().split('&');
    let mut accounts = parameters.filter_map(|parameter| parameter.strip_prefix(ACCOUNT_PARAMETER));
    let text = accounts.next().ok_or(RequestError::NoAccount)?;
    let is_hexadecimal = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if accounts.next().is_some() || text.len() != ACCOUNT_ID_DIGITS || !is_hexadecimal {
        return Err(RequestError::NoAccount);
    }
    let id = u64::from_str_radix(text, 16).map_err(|_| RequestError::NoAccount)?;
    if id >= ACCOUNT_ID_LIMIT {
        return Err(RequestError::NoAccount);
    }
    Ok(AccountId(id))
}

/// Returns the client's deadline in milliseconds from the receipt of the request.
fn deadline_ms(headers: &HeaderMap) -> Result<u64, RequestError> {
    header_text(headers, &headers::DEADLINE)
        .and_then(parse_digits)
        .filter(|&milliseconds| milliseconds <= MAX_DEADLINE_MS)
        .ok_or(RequestError::NoDeadline)
}

/// Parses a weight such as `units=1.5,spread=2,first=0`, with its parts in any order. Parts with an unknown
/// name are ignored. Returns `None` if a part is malformed, missing or repeated.
fn parse_weight(text: &str) -> Option<UnitsAndAccountNodes> {
    let mut units = None;
    let mut account_node_count = None;
    let mut first_account_node = None;
    for part in text.split(',') {
        let (name, value) = part.trim().split_once('=')?;
        let is_repeated = match name {
            "units" => units.replace(parse_decimal(value)?).is_some(),
            "spread" => account_node_count.replace(parse_digits(value)?).is_some(),
            "first" => first_account_node.replace(parse_digits(value)?).is_some(),
            _ => false,
        };
        if is_repeated {
            return None;
        }
    }
    Some(UnitsAndAccountNodes {
        units: units?,
        account_node_count: account_node_count?,
        first_account_node: first_account_node?,
    })
}

/// Returns the value of a header. Returns `None` if the header is missing or not visible ASCII.
fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Parses a number that consists of digits only. Returns `None` for any other text and for a number out of
/// range.
fn parse_digits<T: FromStr>(text: &str) -> Option<T> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

/// Parses a number in decimal notation without sign and exponent. Returns `None` for any other text.
fn parse_decimal(text: &str) -> Option<f64> {
    if !text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.') {
        return None;
    }
    text.parse().ok()
}

//! What a request must hold: one rule a function. A request that breaks one never reaches the decisions.

use std::str::FromStr;

use hyper::header::HeaderName;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode};
use thiserror::Error;

use crate::decision::{AccountId, Idempotency, Micros, NewRequest, RequestId};
use crate::protocol::headers;
use crate::protocol::settings::{ClassDocument, SettingsDocument};

/// Most bytes of a request id.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// The longest time that a client may say it waits, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Account ids are below this.
const ACCOUNT_ID_LIMIT: u64 = 1 << 33;
/// Hexadecimal digits of an account id.
const ACCOUNT_ID_DIGITS: usize = 16;
/// The parameter of the query that names the account.
const ACCOUNT_PARAMETER: &str = "key=";
/// The headers that may come once at most.
const SINGLE_HEADERS: [HeaderName; 7] = [
    headers::REQUEST_ID,
    headers::REQUEST_CLASS,
    headers::PLAN,
    headers::DEADLINE,
    headers::WEIGHT,
    headers::RETRY,
    headers::IDEMPOTENCY_KEY,
];

/// Why a request is not handed to the decisions. The text is the body of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The path is for reading only.
    #[error("GET alone is served here")]
    MethodNotAllowed,
    /// Where the body ends is unknown.
    #[error("a body has a length or comes in chunks, not both and in no other encoding")]
    AmbiguousFraming,
    /// A header that may come once comes twice.
    #[error("a header comes twice")]
    RepeatedHeader,
    /// The request's id is missing, empty or too long.
    #[error("no id")]
    NoRequestId,
    /// The class is missing.
    #[error("no class")]
    NoClass,
    /// The settings have no class of this name.
    #[error("no such class")]
    UnknownClass,
    /// The path begins with the name of another class.
    #[error("the path is not the class's")]
    PathMismatch,
    /// Method and idempotency key do not fit the class.
    #[error("method and key are not the class's")]
    MethodMismatch,
    /// The plan is missing or unknown.
    #[error("no such plan")]
    UnknownPlan,
    /// The account is missing, malformed or named twice.
    #[error("no key of 16 hex digits")]
    NoAccount,
    /// The deadline is missing, malformed or too far off.
    #[error("no deadline in milliseconds")]
    NoDeadline,
    /// The weight is missing, malformed or out of range.
    #[error("no weight")]
    NoWeight,
    /// A `GET` has a body.
    #[error("a GET has no body")]
    BodyOfGet,
    /// The body is longer than allowed.
    #[error("the body is longer than 64 KiB")]
    BodyTooLong,
    /// The body can't be read to its end.
    #[error("the body is not whole")]
    BodyIncomplete,
    /// The body did not arrive in time.
    #[error("the body came too late")]
    BodyTimeout,
    /// A target in absolute form has no path.
    #[error("no path")]
    NoPath,
    /// A request with the same id is in progress.
    #[error("id in use")]
    IdInUse,
}

impl RequestError {
    /// The status of the response.
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
            | RequestError::NoPath => StatusCode::BAD_REQUEST,
        }
    }
}

/// What the settings say of requests.
pub struct RequestRules {
    classes: Vec<ClassRule>,
    plans: Vec<String>,
    node_count: u32,
    max_request_units: f64,
}

/// The form of requests of one class.
struct ClassRule {
    name: String,
    idempotency: Idempotency,
}

/// The request's class: its index in the settings, and its rule.
struct ClassMatch<'a> {
    index: usize,
    rule: &'a ClassRule,
}

/// What the weight header ([`headers::WEIGHT`]) holds.
struct UnitsAndAccountNodes {
    units: f64,
    account_node_count: u32,
    first_account_node: u32,
}

impl From<&ClassDocument> for ClassRule {
    fn from(document: &ClassDocument) -> Self {
        ClassRule { name: document.name.clone(), idempotency: document.idempotency.into() }
    }
}

impl RequestRules {
    /// The rules that follow from these settings.
    pub fn new(settings: &SettingsDocument) -> Self {
        let max_request_units = settings.accounting.max_request_units;
        RequestRules {
            classes: settings.classes.iter().map(ClassRule::from).collect(),
            plans: settings.plans.iter().map(|plan| plan.name.clone()).collect(),
            node_count: settings.node_count.max(1),
            max_request_units: if max_request_units > 0.0 { max_request_units } else { f64::MAX },
        }
    }

    /// Reads what the decisions have to know of a request that was received at `received_at`.
    ///
    /// # Errors
    /// The first rule that the request breaks.
    pub fn validate(&self, head: &Parts, received_at: Micros) -> Result<NewRequest, RequestError> {
        reject_repeated_headers(&head.headers)?;
        let id = request_id(&head.headers)?;
        let class = self.class(&head.headers)?;
        require_path_of_class(head.uri.path(), class.rule)?;
        require_method_of_class(&head.method, &head.headers, class.rule)?;
        let plan = self.plan(&head.headers)?;
        let account = account(head.uri.query())?;
        let deadline_ms = deadline_ms(&head.headers)?;
        let quota = self.units_and_account_nodes(&head.headers)?;
        Ok(NewRequest {
            id,
            account,
            class: class.index,
            plan,
            units: quota.units,
            first_account_node: quota.first_account_node,
            account_node_count: quota.account_node_count,
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
            .filter(|quota| self.is_in_range(quota))
            .ok_or(RequestError::NoWeight)
    }

    fn is_in_range(&self, quota: &UnitsAndAccountNodes) -> bool {
        quota.units > 0.0
            && quota.units <= self.max_request_units
            && (1..=self.node_count).contains(&quota.account_node_count)
            && quota.first_account_node < self.node_count
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

/// The first segment of the path has to be the name of the class.
fn require_path_of_class(path: &str, class: &ClassRule) -> Result<(), RequestError> {
    if path.split('/').nth(1) != Some(&class.name) {
        return Err(RequestError::PathMismatch);
    }
    Ok(())
}

/// The method, and whether there is an idempotency key, have to fit what the class says of repeats.
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

/// The account that the query names, once.
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

fn deadline_ms(headers: &HeaderMap) -> Result<u64, RequestError> {
    header_text(headers, &headers::DEADLINE)
        .and_then(parse_digits)
        .filter(|&milliseconds| milliseconds <= MAX_DEADLINE_MS)
        .ok_or(RequestError::NoDeadline)
}

/// Reads `units=1.5,spread=2,first=0`, in any order. Unknown parts are ignored; one that comes twice says nothing.
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

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// A number written in digits alone.
fn parse_digits<T: FromStr>(text: &str) -> Option<T> {
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    text.parse().ok()
}

/// A number in decimal notation, with no sign or exponent.
fn parse_decimal(text: &str) -> Option<f64> {
    if !text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.') {
        return None;
    }
    text.parse().ok()
}

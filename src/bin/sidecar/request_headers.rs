//! Parses the headers of a client's request.

use crate::config::Config;
use crate::messages::{CORRELATION_ID, TIME_LEFT};
use crate::repeat_guard::RepeatId;
use hyper::Method;
use hyper::header::{self, HeaderMap, HeaderName};
use hyper::http::uri::Authority;
use load_balancer::{Effect, Micros};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Longest time that a client may wait, in microseconds; longer ones are shortened to this.
const MAX_TIME_LEFT: Micros = 3_600_000_000;

const SERVICE_CLASS: HeaderName = HeaderName::from_static("x-service-class");
const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
const WEIGHT_HINT: HeaderName = HeaderName::from_static("x-weight-hint");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The names of the classes and tenants.
pub struct RequestClasses {
    classes: Vec<(String, Effect)>,
    tenants: Vec<String>,
}

impl RequestClasses {
    /// Takes them from the configuration.
    pub fn from_config(config: &Config) -> Self {
        let decoded = &config.decoded;
        let effects = decoded.settings.classes.iter().map(|c| c.effect);
        Self {
            classes: decoded.classes.iter().cloned().zip(effects).collect(),
            tenants: decoded.tenants.clone(),
        }
    }
}

/// The parsed headers of a request.
pub struct RequestHeaders {
    /// The index of its class.
    pub class: usize,
    /// The index of its tenant, if it has one.
    pub tenant: Option<usize>,
    /// The key of the object that it is about.
    pub key: Option<u64>,
    /// How long its client waits.
    pub time_left: Micros,
    /// The work it causes, if it says so.
    pub work: Option<Micros>,
    /// Whether its client marked it as a retry.
    pub is_retry: bool,
    /// Whether its class allows a body.
    pub may_have_body: bool,
    /// Identifies it if its class must not run twice.
    pub repeat_id: Option<RepeatId>,
}

impl RequestHeaders {
    /// Parses the headers; `None` if this is no request of the protocol, which must not reach an
    /// endpoint. With two values of a header that is read here, an endpoint might use the other one.
    pub fn parse(
        request_classes: &RequestClasses,
        method: &Method,
        headers: &HeaderMap,
    ) -> Option<Self> {
        let text = |name: &HeaderName| {
            headers
                .get(name)
                .and_then(|v| v.to_str().ok())
                .map(str::trim)
        };
        let only_text = |name: &HeaderName| {
            let has_one = headers.get_all(name).iter().count() == 1;
            text(name).filter(|text| has_one && !text.is_empty())
        };
        // HTTP/1.1 has a server reject a request without a valid Host, or with more than one.
        let _: Authority = only_text(&header::HOST)?.parse().ok()?;
        let class = only_text(&SERVICE_CLASS)?;
        let class = request_classes
            .classes
            .iter()
            .position(|(name, _)| name == class)?;
        // The method follows from the class: a request of another form does not have the effect
        // that the class declares.
        let effect = request_classes.classes[class].1;
        let method_matches = match effect {
            Effect::Idempotent => method == Method::GET,
            Effect::IdempotentByKey { .. } => {
                method == Method::POST && only_text(&IDEMPOTENCY_KEY).is_some()
            }
            Effect::NonIdempotent => {
                method == Method::POST && !headers.contains_key(IDEMPOTENCY_KEY)
            }
        };
        let id = only_text(&CORRELATION_ID).filter(|_| method_matches)?;
        let tenant = text(&ACCOUNT)
            .and_then(|account| request_classes.tenants.iter().position(|t| t == account));
        let work = text(&WEIGHT_HINT)
            .and_then(|hint| hint.parse().ok())
            .filter(|us: &Micros| *us > 0);
        Some(Self {
            class,
            tenant,
            key: object_key(headers),
            time_left: parse_time_left(only_text(&TIME_LEFT)?)?,
            work,
            is_retry: text(&REPEAT) == Some("1"),
            may_have_body: effect != Effect::Idempotent,
            repeat_id: (effect == Effect::NonIdempotent).then(|| hash(id)),
        })
    }
}

/// Parses a time such as `480m` (milliseconds) or `480000u` (microseconds).
fn parse_time_left(text: &str) -> Option<Micros> {
    let (number, unit) = match text.strip_suffix('m') {
        Some(number) => (number, 1000.0),
        None => (text.strip_suffix('u')?, 1.0),
    };
    let is_digit = |b: u8| b.is_ascii_digit() || b == b'.';
    let number: f64 = Some(number)
        .filter(|n| n.bytes().all(is_digit))?
        .parse()
        .ok()?;
    Some(((number * unit).min(MAX_TIME_LEFT as f64)) as Micros)
}

/// The object of a request: the cookie `obj`, a hexadecimal number or any other text.
fn object_key(headers: &HeaderMap) -> Option<u64> {
    let cookies = headers
        .get_all(header::COOKIE)
        .iter()
        .filter_map(|v| v.to_str().ok());
    let value = cookies
        .flat_map(|c| c.split(';'))
        .find_map(|c| c.trim().strip_prefix("obj="))?;
    Some(u64::from_str_radix(value, 16).unwrap_or_else(|_| hash(value)))
}

fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
mod tests;

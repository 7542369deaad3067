//! The platform's messages: each is decoded once to a small typed value and encoded once. Wire names stay here.

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use hyper::header::TRANSFER_ENCODING;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, StatusCode};
use opalpulley::{
    DeliveryClassId, DestinationId, EndpointEntry, EndpointId, EndpointKindId, EndpointStatus,
    Micros, Outcome, TenantId, ZoneId,
};
use opalpulley_config::Names;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

pub const MAX_BODY_BYTES: usize = 64 * 1024; // bytes, the protocol's limit
pub const READ_BUFFER_BYTES: usize = 32 * 1024; // bytes read ahead on a connection, the longest head: hundreds fit the memory
const LONGEST_WAIT_MS: f64 = 86_400_000.0; // a day, over any expiry: more than that is not told apart
const KEY_DIGITS: usize = 16; // of a key of order, as the platform writes it
const LONGEST_NAME: usize = 256; // bytes of a request id or idempotency key: far over any in use

pub const UP: &str = "/up";
const ID: &str = "request-id";
const CLASS: &str = "request-class";
const TENANT: &str = "tenant";
const TIME_LEFT: &str = "request-timeout-ms";
const MARK: &str = "idempotency-key";
const RETRY: &str = "client-retry";
const KEY: &str = "affinity-key";
const ENVELOPE: &str = "envelope";

/// A message as a client hands it in.
#[derive(Clone, Debug, PartialEq)]
pub struct SubmittedMessage {
    pub request_id: String,
    pub class: DeliveryClassId,
    /// None where the deployment has no tenants, or none of that name: it counts in no share.
    pub tenant: Option<TenantId>,
    pub destination: DestinationId,
    pub left: Micros,
    pub idempotency_key: Option<String>,
    /// Messages of a profile that keeps order go one at a time where they have the same.
    pub key: Option<u64>,
    pub again: bool,
    pub orphan: bool,
    pub body: Bytes,
}

/// Why a request can't be taken, in words for the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidRequest {
    pub status: StatusCode,
    pub reason: String,
    /// Where it ends is not known, or not waited for: what follows on the connection can't be trusted.
    pub last: bool,
}

impl InvalidRequest {
    pub fn new(status: StatusCode, reason: impl Into<String>) -> InvalidRequest {
        InvalidRequest {
            status,
            reason: reason.into(),
            last: false,
        }
    }

    pub fn last(status: StatusCode, reason: impl Into<String>) -> InvalidRequest {
        InvalidRequest {
            last: true,
            ..InvalidRequest::new(status, reason)
        }
    }
}

/// What a message of a profile needs.
#[derive(Clone, Debug)]
pub struct SubmissionRequirements {
    pub name: String,
    /// An idempotency key.
    pub marked: bool,
    /// No more time than this.
    pub longest: Micros,
}

/// The head of a message: all but its body. `requirements` are those of the profiles, in order.
pub fn decode_head(
    head: &Parts,
    names: &Names,
    requirements: &[SubmissionRequirements],
) -> Result<SubmittedMessage, InvalidRequest> {
    let wrong = |reason: String| InvalidRequest::new(StatusCode::BAD_REQUEST, reason);
    // Guards rule 2: a length beside it, which the library drops, may hide another request in the body.
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(InvalidRequest::last(
            StatusCode::LENGTH_REQUIRED,
            "a body comes with its length, not in chunks",
        ));
    }
    let path = head.uri.path();
    let class = path
        .strip_prefix('/')
        .and_then(|class| requirements.iter().position(|f| f.name == class));
    let Some(class) = class else {
        return Err(InvalidRequest::new(
            StatusCode::NOT_FOUND,
            format!("no profile is handed in at {path}"),
        ));
    };
    if head.method != Method::POST {
        return Err(InvalidRequest::new(
            StatusCode::METHOD_NOT_ALLOWED,
            "a packet is handed in with POST",
        ));
    }
    let requirements = &requirements[class];
    let text = |name: &str| {
        let mut values = head.headers.get_all(name).iter();
        let value = values.next().map(|v| v.to_str());
        match (value, values.next()) {
            (_, Some(_)) => Err(wrong(format!("{name} comes more than once"))),
            (Some(Ok(value)), None) if value.len() <= LONGEST_NAME => Ok(Some(value.trim())),
            (Some(_), None) => Err(wrong(format!(
                "{name} is no plain text of at most {LONGEST_NAME} characters"
            ))),
            (None, None) => Ok(None),
        }
    };
    let number = |text: &str| {
        text.bytes()
            .all(|b| b.is_ascii_digit())
            .then(|| text.parse::<u32>().ok())
            .flatten()
    };
    let needed = |name: &str| match text(name)? {
        Some(value) if !value.is_empty() => Ok(value),
        _ => Err(wrong(format!("{name} is missing"))),
    };
    if let Some(class) = text(CLASS)?.filter(|class| *class != requirements.name) {
        return Err(wrong(format!("{CLASS} says {class}, the path {path}")));
    }
    let left = needed(TIME_LEFT)?;
    let left = number(left)
        .ok_or_else(|| wrong(format!("{TIME_LEFT}: {left} is no whole number of ms")))?;
    let left = Micros::from(left) * 1000;
    if left > requirements.longest {
        let longest = requirements.longest / 1000;
        return Err(wrong(format!(
            "{TIME_LEFT} is over what {} packets have: {longest} ms",
            requirements.name
        )));
    }
    let parts = needed(ENVELOPE)?.split([';', ',', ' ']);
    let destination = parts
        .filter_map(|part| part.trim().strip_prefix("dest="))
        .next();
    let destination = destination.ok_or_else(|| wrong(format!("{ENVELOPE} has no dest")))?;
    let destination = number(destination).ok_or_else(|| {
        wrong(format!(
            "{ENVELOPE}: {destination} is no number of a destination"
        ))
    })?;
    let idempotency_key = text(MARK)?.map(str::to_owned);
    if requirements.marked && idempotency_key.as_ref().is_none_or(|m| m.is_empty()) {
        return Err(wrong(format!(
            "{MARK} is missing, and {} needs one",
            requirements.name
        )));
    }
    let retry = text(RETRY)?;
    let key = text(KEY)?.filter(|key| !key.is_empty()).map(order_key);
    let tenant = text(TENANT)?.and_then(|name| names.tenants.iter().position(|t| t == name));
    Ok(SubmittedMessage {
        request_id: needed(ID)?.to_owned(),
        class: DeliveryClassId(class as u16),
        tenant: tenant.map(|t| TenantId(t as u32)),
        destination: DestinationId(destination),
        left,
        idempotency_key,
        key,
        again: retry == Some("1"),
        orphan: retry == Some("again"),
        body: Bytes::new(),
    })
}

/// The number by which a key of order is kept: its own, where it is written as the platform does, else one that its text
/// gives, the same in each version. Two texts may share one, which keeps an order that nobody asked for.
fn order_key(text: &str) -> u64 {
    let own = (text.len() == KEY_DIGITS)
        .then(|| u64::from_str_radix(text, 16).ok())
        .flatten();
    own.unwrap_or_else(|| crc32fast::hash(text.as_bytes()).into())
}

/// A request to an endpoint, and how many bytes it takes on the connection.
#[derive(Clone)]
pub struct EndpointRequest {
    pub request: Request<Full<Bytes>>,
    pub length: u64,
}

pub fn encode_attempt(
    endpoint: EndpointId,
    request_id: &str,
    idempotency_key: Option<&str>,
    limit: Duration,
    body: &Bytes,
) -> Result<EndpointRequest, hyper::http::Error> {
    let mut call = Request::post("/inbox")
        .header("host", address(endpoint).to_string())
        .header(ID, request_id);
    if let Some(idempotency_key) = idempotency_key {
        call = call.header(MARK, idempotency_key);
    }
    let request = call
        .header(TIME_LEFT, limit.as_millis().to_string())
        .header("content-length", body.len().to_string())
        .body(Full::new(body.clone()))?;
    let length = on_the_wire(&request) + body.len() as u64;
    Ok(EndpointRequest { request, length })
}

pub fn encode_health_check(endpoint: EndpointId) -> Result<EndpointRequest, hyper::http::Error> {
    let host = address(endpoint).to_string();
    let request = Request::get("/alive")
        .header("host", host)
        .body(Full::new(Bytes::new()))?;
    let length = on_the_wire(&request);
    Ok(EndpointRequest { request, length })
}

/// The bytes of a request's head: its first line and a line a header.
fn on_the_wire<B>(request: &Request<B>) -> u64 {
    let first = request.method().as_str().len()
        + request.uri().path().len()
        + " ".len()
        + " HTTP/1.1\r\n".len();
    let lines = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    (first + lines.sum::<usize>() + "\r\n".len()) as u64
}

/// The head of an endpoint's answer.
pub struct EndpointAnswer {
    /// What it says of the attempt or health check.
    pub outcome: Outcome,
    /// Whether the message is over: no further attempt is wanted.
    pub completed: bool,
    /// How long the endpoint asks not to be called, µs.
    pub retry_after: Option<Micros>,
    /// The load that it reports, in the order of the settings. Empty where it reports none.
    pub load_report: Vec<f32>,
}

impl EndpointAnswer {
    /// Decodes a head. Headers that can't be read count as absent.
    pub fn decode(status: StatusCode, headers: &HeaderMap, names: &Names) -> EndpointAnswer {
        let retry_after = decode_retry_after(headers);
        let (outcome, completed) = decode_answer(status, headers, retry_after);
        EndpointAnswer {
            outcome,
            completed,
            retry_after,
            load_report: decode_load_report(headers, names),
        }
    }
}

/// The wait that an answer asks for, whatever its status: the longest of those that can be read, a day at most. One
/// that is no number of milliseconds above nought is none.
pub fn decode_retry_after(headers: &HeaderMap) -> Option<Micros> {
    let told = headers
        .get_all("wait-ms")
        .iter()
        .filter_map(|v| v.to_str().ok()?.trim().parse::<f64>().ok());
    let longest = told.filter(|ms| *ms > 0.0).max_by(f64::total_cmp)?;
    Some((longest.min(LONGEST_WAIT_MS) * 1000.0).ceil() as Micros)
}

/// How a call or health check went, by the answer's head and the wait that it tells: its outcome, and whether the message is over.
pub fn decode_answer(
    status: StatusCode,
    headers: &HeaderMap,
    wait: Option<Micros>,
) -> (Outcome, bool) {
    let number = |name: &str| {
        headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.trim().parse::<f64>().ok())
    };
    match status.as_u16() {
        200 => (Outcome::Delivered, true),
        429 => (Outcome::Rejected { retry_after: wait }, false),
        503 if number("slots-taken") == Some(1.0) => {
            (Outcome::NotAttempted { no_permit: true }, false)
        }
        503 => (Outcome::Rejected { retry_after: None }, false),
        504 => (Outcome::NotAttempted { no_permit: false }, false),
        410 => (Outcome::NotAttempted { no_permit: false }, true),
        _ => (Outcome::Error, false),
    }
}

/// What an endpoint tells of its limit, in the order of the settings. A report that can't be read, is told twice or
/// lacks a figure is none.
pub fn decode_load_report(headers: &HeaderMap, names: &Names) -> Vec<f32> {
    let mut texts = headers.get_all("server-load").iter();
    let (Some(text), None) = (texts.next(), texts.next()) else {
        return Vec::new();
    };
    let values: BTreeMap<String, f32> = serde_json::from_slice(text.as_bytes()).unwrap_or_default();
    let figures = names
        .reports
        .iter()
        .map(|n| values.get(n).copied().filter(|v| v.is_finite()));
    figures.collect::<Option<_>>().unwrap_or_default()
}

pub fn address(endpoint: EndpointId) -> SocketAddr {
    SocketAddr::V4(SocketAddrV4::new(
        Ipv4Addr::from(endpoint.address),
        endpoint.port,
    ))
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct EndpointListDocument {
    pub revision: u64,
    pub complete: bool,
    #[serde(default)]
    pub members: Vec<Member>,
}

/// A line of the list. Short texts lie in the line itself: a list of a hundred thousand takes no allocation for each.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Member {
    pub id: CompactString,
    pub host_port: SocketAddrV4,
    #[serde(default)]
    pub locality: CompactString,
    #[serde(default)]
    pub flavor: CompactString,
    pub cell: u32,
    pub phase: Phase,
    #[serde(default)]
    pub size: f32,
    #[serde(default)]
    pub up_since_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub enum Phase {
    Ready,
    Terminating,
    Gone,
}

impl Member {
    pub fn endpoint(&self, holder: u32) -> EndpointId {
        EndpointId {
            address: self.host_port.ip().octets(),
            port: self.host_port.port(),
            incarnation: holder,
        }
    }

    /// A zone or kind without a name in the settings counts as the last one.
    pub fn listing(&self, holder: u32, names: &Names) -> EndpointEntry {
        let place = |all: &[String], name: &str| {
            all.iter()
                .position(|n| n == name)
                .unwrap_or(all.len().saturating_sub(1)) as u16
        };
        EndpointEntry {
            endpoint: self.endpoint(holder),
            zone: ZoneId(place(&names.zones, &self.locality)),
            up_since: self.up_since_ms.saturating_mul(1000),
            status: match self.phase {
                Phase::Ready => EndpointStatus::Ready,
                Phase::Terminating => EndpointStatus::Draining,
                Phase::Gone => EndpointStatus::Removed,
            },
            rate: self.size,
            destination: DestinationId(self.cell),
            kind: EndpointKindId(place(&names.endpoint_kinds, &self.flavor)),
        }
    }
}

/// The path of the whole list, or of a watch on what comes after a revision.
pub fn list_path(watch: Option<(u64, Duration)>) -> String {
    match watch {
        None => "/discovery/hosts".to_owned(),
        Some((after, wait)) => format!("/discovery/hosts?index={after}&wait={}", wait.as_millis()),
    }
}

/// How a message that was taken on ended without delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    Failed,
    Rejected { retry_after: Option<Micros> },
}

pub const OUTCOMES: &str = "/v1/outcomes";

#[derive(Serialize)]
struct CompletionReportText<'a> {
    id: &'a str,
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    again_ms: Option<u64>,
}

/// The lines of a completion report, one message each.
pub fn encode_completion_reports<'a>(ends: impl Iterator<Item = (&'a str, Ending)>) -> Bytes {
    let mut text = Vec::new();
    for (id, ending) in ends {
        let (status, again_ms) = match ending {
            Ending::Failed => ("undeliverable", None),
            Ending::Rejected { retry_after } => {
                ("deferred", retry_after.map(|us| us.div_ceil(1000)))
            }
        };
        // Writing plain strings and numbers to memory has no way to fail.
        if serde_json::to_writer(
            &mut text,
            &CompletionReportText {
                id,
                status,
                again_ms,
            },
        )
        .is_ok()
        {
            text.push(b'\n');
        }
    }
    text.into()
}

/// Seconds for `Retry-After`, decimal.
pub fn encode_retry_after(retry_after: Micros) -> String {
    format!("{:.3}", retry_after as f64 / 1e6)
}

#[cfg(test)]
mod tests;

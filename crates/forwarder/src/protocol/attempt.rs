//! Attempts and health checks as endpoints get them, and the heads of their answers.

use super::header_names::{IDEMPOTENCY_KEY, REQUEST_ID, REQUEST_TIMEOUT_MS};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_LENGTH, HOST};
use hyper::{HeaderMap, Request, StatusCode};
use opalpulley::{EndpointId, Micros, Outcome};
use opalpulley_config::{Names, MICROS_PER_MILLI};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

const ATTEMPT_PATH: &str = "/inbox";
const HEALTH_CHECK_PATH: &str = "/alive";

/// How long the endpoint asks not to be called, ms, decimal.
const RETRY_AFTER_MS: &str = "wait-ms";
/// `1` in a 503: the endpoint has no concurrency permit for this attempt and did not try it.
const NO_PERMIT: &str = "slots-taken";
/// The endpoint's load: a JSON object of named figures.
const LOAD_REPORT: &str = "server-load";

/// A day, ms, over any deadline. Longer retry-afters are shortened to it.
const MAX_RETRY_AFTER_MS: f64 = 86_400_000.0;

/// A request to an endpoint.
#[derive(Clone)]
pub struct EndpointRequest {
    /// The request.
    pub http_request: Request<Full<Bytes>>,
    /// The bytes that it takes on the connection.
    pub length: u64,
}

/// The address at which an endpoint listens.
pub fn address(endpoint: EndpointId) -> SocketAddr {
    let ip = Ipv4Addr::from(endpoint.address);
    SocketAddr::V4(SocketAddrV4::new(ip, endpoint.port))
}

/// An attempt at a message, with its timeout. Fails where an id is no valid header value.
pub fn encode_attempt(
    endpoint: EndpointId,
    request_id: &str,
    idempotency_key: Option<&str>,
    timeout: Duration,
    body: &Bytes,
) -> Result<EndpointRequest, hyper::http::Error> {
    let mut head = Request::post(ATTEMPT_PATH)
        .header(HOST, address(endpoint).to_string())
        .header(REQUEST_ID, request_id);
    if let Some(key) = idempotency_key {
        head = head.header(IDEMPOTENCY_KEY, key);
    }
    let http_request = head
        .header(REQUEST_TIMEOUT_MS, timeout.as_millis().to_string())
        .header(CONTENT_LENGTH, body.len().to_string())
        .body(Full::new(body.clone()))?;
    let length = head_bytes(&http_request) + body.len() as u64;
    Ok(EndpointRequest {
        http_request,
        length,
    })
}

/// A health check.
pub fn encode_health_check(endpoint: EndpointId) -> Result<EndpointRequest, hyper::http::Error> {
    let http_request = Request::get(HEALTH_CHECK_PATH)
        .header(HOST, address(endpoint).to_string())
        .body(Full::new(Bytes::new()))?;
    let length = head_bytes(&http_request);
    Ok(EndpointRequest {
        http_request,
        length,
    })
}

/// The bytes of a request's head on the connection (RFC 9112 section 2.1): its first line, a line a header, an empty line.
fn head_bytes<B>(request: &Request<B>) -> u64 {
    let method_and_path = request.method().as_str().len() + request.uri().path().len();
    let first_line = method_and_path + " ".len() + " HTTP/1.1\r\n".len();
    let header_lines: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + ": ".len() + value.len() + "\r\n".len())
        .sum();
    (first_line + header_lines + "\r\n".len()) as u64
}

/// The head of an endpoint's answer.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointAnswer {
    /// What it says of the attempt or health check.
    pub outcome: Outcome,
    /// Whether the message is over: no further attempt is wanted.
    pub completed: bool,
    /// How long the endpoint asks not to be called, µs. It is decoded from the header of any status. The outcome has it
    /// only for a 429.
    pub retry_after: Option<Micros>,
    /// The load that it reports, in the order of the settings. Empty where it reports none.
    pub load_report: Vec<f32>,
}

impl EndpointAnswer {
    /// Decodes a head. Headers that can't be read count as absent.
    pub fn decode(status: StatusCode, headers: &HeaderMap, names: &Names) -> EndpointAnswer {
        let retry_after = decode_retry_after(headers);
        EndpointAnswer {
            outcome: decode_outcome(status, headers, retry_after),
            completed: matches!(status, StatusCode::OK | StatusCode::GONE),
            retry_after,
            load_report: decode_load_report(headers, names),
        }
    }
}

fn decode_outcome(status: StatusCode, headers: &HeaderMap, retry_after: Option<Micros>) -> Outcome {
    match status {
        StatusCode::OK => Outcome::Delivered,
        StatusCode::TOO_MANY_REQUESTS => Outcome::Rejected { retry_after },
        StatusCode::SERVICE_UNAVAILABLE if says_no_permit(headers) => {
            Outcome::NotAttempted { no_permit: true }
        }
        // The header of a 503 is not part of its outcome. `EndpointAnswer::retry_after` still has it.
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Rejected { retry_after: None },
        // The endpoint says that it did nothing. The simulator's wire has the same outcome (409) for a message that was over
        // or whose time was up, and takes it as proof that the message never ran.
        StatusCode::GATEWAY_TIMEOUT | StatusCode::GONE => {
            Outcome::NotAttempted { no_permit: false }
        }
        _ => Outcome::Error,
    }
}

fn says_no_permit(headers: &HeaderMap) -> bool {
    headers.get(NO_PERMIT).and_then(decode_decimal) == Some(1.0)
}

/// A number, with or without decimals.
fn decode_decimal(value: &HeaderValue) -> Option<f64> {
    value.to_str().ok()?.trim().parse().ok()
}

/// The longest retry-after of those that can be read, µs, a day at most. One that is not above 0 is none.
pub(super) fn decode_retry_after(headers: &HeaderMap) -> Option<Micros> {
    let values = headers.get_all(RETRY_AFTER_MS).iter();
    let longest_ms = values
        .filter_map(decode_decimal)
        .filter(|ms| *ms > 0.0)
        .max_by(f64::total_cmp)?;
    let micros = longest_ms.min(MAX_RETRY_AFTER_MS) * MICROS_PER_MILLI as f64;
    Some(micros.ceil() as Micros)
}

/// The load that an endpoint reports, in the order of the settings. Empty where the report can't be read, comes twice or
/// lacks a figure: 0 would mean an idle endpoint.
pub(super) fn decode_load_report(headers: &HeaderMap, names: &Names) -> Vec<f32> {
    let mut reports = headers.get_all(LOAD_REPORT).iter();
    let (Some(report), None) = (reports.next(), reports.next()) else {
        return Vec::new();
    };
    let figures: BTreeMap<String, f32> =
        serde_json::from_slice(report.as_bytes()).unwrap_or_default();
    let in_order = names.load_metrics.iter().map(|name| {
        let figure = figures.get(name).copied();
        figure.filter(|value| value.is_finite())
    });
    in_order.collect::<Option<Vec<f32>>>().unwrap_or_default()
}

//! Attempts and health checks as they are sent to endpoints, and the heads of the responses.

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

/// Header of a response: the time for which the endpoint asks not to be called, in ms, decimal.
const RETRY_AFTER_MS: &str = "wait-ms";
/// Header of a 503 response. `1`: the endpoint had no concurrency permit for the attempt and did not start it.
const NO_PERMIT: &str = "slots-taken";
/// Header of a response: the load of the endpoint, a JSON object of named metrics.
const LOAD_REPORT: &str = "server-load";

/// Upper bound on a retry-after: one day, in ms, which exceeds any deadline. A longer retry-after is shortened to it.
const MAX_RETRY_AFTER_MS: f64 = 86_400_000.0;

/// An encoded request to an endpoint.
#[derive(Clone)]
pub struct EndpointRequest {
    /// The request as it is passed to the HTTP connection.
    pub http_request: Request<Full<Bytes>>,
    /// Number of bytes that the request takes on the connection.
    pub wire_bytes: u64,
}

/// Returns the address at which an endpoint listens.
pub fn address(endpoint: EndpointId) -> SocketAddr {
    let ip = Ipv4Addr::from(endpoint.address);
    SocketAddr::V4(SocketAddrV4::new(ip, endpoint.port))
}

/// Encodes an attempt at a message, with its timeout in whole ms. Fails if the id or the key is not a valid header
/// value.
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
    let wire_bytes = head_wire_bytes(&http_request) + body.len() as u64;
    Ok(EndpointRequest {
        http_request,
        wire_bytes,
    })
}

/// Encodes a health check.
pub fn encode_health_check(endpoint: EndpointId) -> Result<EndpointRequest, hyper::http::Error> {
    let http_request = Request::get(HEALTH_CHECK_PATH)
        .header(HOST, address(endpoint).to_string())
        .body(Full::new(Bytes::new()))?;
    let wire_bytes = head_wire_bytes(&http_request);
    Ok(EndpointRequest {
        http_request,
        wire_bytes,
    })
}

/// Returns the number of bytes that the head of a request takes on the connection (RFC 9112 section 2.1): the request
/// line, one line for each header, and an empty line.
fn head_wire_bytes<B>(request: &Request<B>) -> u64 {
    let method_and_path = request.method().as_str().len() + request.uri().path().len();
    let first_line = method_and_path + " ".len() + " HTTP/1.1\r\n".len();
    let header_lines: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + ": ".len() + value.len() + "\r\n".len())
        .sum();
    (first_line + header_lines + "\r\n".len()) as u64
}

/// The decoded head of an endpoint's response.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointResponse {
    /// Outcome of the attempt or health check.
    pub outcome: Outcome,
    /// Whether the message is completed, so that no further attempt is needed.
    pub completed: bool,
    /// Time for which the endpoint asks not to be called, in µs. It is decoded from the header of any status. The
    /// outcome contains it only for a 429.
    pub retry_after: Option<Micros>,
    /// Load metrics that the endpoint reports, in the order of the settings. Empty if it reports none.
    pub load_report: Vec<f32>,
}

impl EndpointResponse {
    /// Decodes a head. A header that cannot be decoded counts as absent.
    pub fn decode(status: StatusCode, headers: &HeaderMap, names: &Names) -> EndpointResponse {
        let retry_after = decode_retry_after(headers);
        EndpointResponse {
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
        StatusCode::SERVICE_UNAVAILABLE if reports_no_permit(headers) => {
            Outcome::NotAttempted { no_permit: true }
        }
        // The outcome of a 503 has no retry-after. `EndpointResponse::retry_after` still contains the header.
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Rejected { retry_after: None },
        // The endpoint states that it did not start the attempt. The simulator's protocol has the same outcome (409)
        // for a message that was already completed or past its deadline, and takes it as proof that the message never
        // ran.
        StatusCode::GATEWAY_TIMEOUT | StatusCode::GONE => {
            Outcome::NotAttempted { no_permit: false }
        }
        _ => Outcome::Error,
    }
}

fn reports_no_permit(headers: &HeaderMap) -> bool {
    headers.get(NO_PERMIT).and_then(decode_decimal) == Some(1.0)
}

/// Decodes a number with or without decimals.
fn decode_decimal(value: &HeaderValue) -> Option<f64> {
    value.to_str().ok()?.trim().parse().ok()
}

/// Returns the longest retry-after that can be decoded, in µs, at most one day. A value that is not above 0 counts as
/// absent.
pub(super) fn decode_retry_after(headers: &HeaderMap) -> Option<Micros> {
    let values = headers.get_all(RETRY_AFTER_MS).iter();
    let longest_ms = values
        .filter_map(decode_decimal)
        .filter(|ms| *ms > 0.0)
        .max_by(f64::total_cmp)?;
    let micros = longest_ms.min(MAX_RETRY_AFTER_MS) * MICROS_PER_MILLI as f64;
    Some(micros.ceil() as Micros)
}

/// Returns the load metrics that an endpoint reports, in the order of the settings. Returns none if the report cannot
/// be decoded, occurs twice or lacks a metric, because 0 would mean an idle endpoint.
pub(super) fn decode_load_report(headers: &HeaderMap, names: &Names) -> Vec<f32> {
    let mut reports = headers.get_all(LOAD_REPORT).iter();
    let (Some(report), None) = (reports.next(), reports.next()) else {
        return Vec::new();
    };
    let metrics: BTreeMap<String, f32> =
        serde_json::from_slice(report.as_bytes()).unwrap_or_default();
    let in_order = names.load_metrics.iter().map(|name| {
        let metric = metrics.get(name).copied();
        metric.filter(|value| value.is_finite())
    });
    in_order.collect::<Option<Vec<f32>>>().unwrap_or_default()
}

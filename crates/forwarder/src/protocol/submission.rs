//! The submission of a message by a client, and the retry-after in the answer to it.

use super::header_names::{IDEMPOTENCY_KEY, REQUEST_ID, REQUEST_TIMEOUT_MS};
use super::submission_error::SubmissionError;
use bytes::Bytes;
use hyper::header::TRANSFER_ENCODING;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method};
use opalpulley::{DeliveryClassId, DestinationId, Micros, TenantId};
use opalpulley_config::{Names, MICROS_PER_MILLI};

/// Path at which the platform asks whether the forwarder takes submissions.
pub const READINESS_PATH: &str = "/up";

/// Header with the name of the delivery class, which the path names too.
pub(super) const DELIVERY_CLASS: &str = "request-class";
/// Header with the name of the tenant.
const TENANT: &str = "tenant";
/// Header that tells whether the client submits the message again, or a forwarder that had the message has failed.
const CLIENT_RETRY: &str = "client-retry";
/// Header with the order key. Messages of an ordered class that have the same key are delivered one at a time.
const ORDER_KEY: &str = "affinity-key";
/// Header with the destination of the message: `dest=` and a number, among other parts.
pub(super) const ENVELOPE: &str = "envelope";

const DESTINATION_PREFIX: &str = "dest=";
const ENVELOPE_SEPARATORS: [char; 3] = [';', ',', ' '];
/// Value of `client-retry` for a message that the client submits again.
const RETRY_RESUBMITTED: &str = "1";
/// Value of `client-retry` for a message whose previous forwarder has failed.
const RETRY_FORWARDER_FAILED: &str = "again";

/// Upper bound on the length of a header value in bytes, far above that of any value in use.
pub(super) const MAX_VALUE_BYTES: usize = 256;
/// Number of hexadecimal digits of an order key as the platform writes it.
const ORDER_KEY_DIGITS: usize = 16;
const HEX_RADIX: u32 = 16;
const MICROS_PER_SECOND: f64 = 1e6;

/// A message as the client submitted it.
#[derive(Clone, Debug, PartialEq)]
pub struct SubmittedMessage {
    /// The client's id of the message.
    pub request_id: String,
    /// The delivery class of the message.
    pub class: DeliveryClassId,
    /// The tenant of the message. `None` if the deployment has no tenants, or none of the submitted name: the message
    /// then counts in no quota.
    pub tenant: Option<TenantId>,
    /// The destination of the message.
    pub destination: DestinationId,
    /// Time from the receipt of the submission to the deadline of the message, in µs.
    pub time_left: Micros,
    /// The key by which endpoints recognize repeats of the message.
    pub idempotency_key: Option<String>,
    /// Messages of an ordered class that have the same order key are delivered one at a time.
    pub order_key: Option<u64>,
    /// Whether the client has submitted the message before.
    pub resubmitted: bool,
    /// Whether a forwarder that has failed may have sent the message before. It is stored in the journal, and no
    /// decision depends on it.
    pub from_failed_forwarder: bool,
    /// The body of the message.
    pub body: Bytes,
}

/// Requirements on the submissions of one delivery class.
#[derive(Clone, Debug)]
pub struct SubmissionRequirements {
    /// Name of the class, and of its path.
    pub class_name: String,
    /// Whether a submission must have an idempotency key.
    pub needs_idempotency_key: bool,
    /// Upper bound on the time to the deadline, in µs.
    pub max_time_left: Micros,
}

/// Decodes the head of a submission into a message without a body. `requirements` are those of all classes, in the
/// order of the classes. Fails if the head is ambiguous or a value is missing or invalid.
pub fn decode_head(
    head: &Parts,
    names: &Names,
    requirements: &[SubmissionRequirements],
) -> Result<SubmittedMessage, SubmissionError> {
    // hyper drops a content length that accompanies a transfer encoding. The body may then hide another request (RFC
    // 9112 section 11.2).
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(SubmissionError::BodyWithoutLength);
    }
    let class = find_class(head.uri.path(), requirements)?;
    if head.method != Method::POST {
        return Err(SubmissionError::NotPost);
    }
    let requirements = &requirements[class];
    check_class_header(head, requirements)?;
    let time_left = decode_time_left(&head.headers, requirements)?;
    let destination = decode_destination(&head.headers)?;
    let idempotency_key = decode_idempotency_key(&head.headers, requirements)?;
    let client_retry = header_value(&head.headers, CLIENT_RETRY)?;
    let order_key = header_value(&head.headers, ORDER_KEY)?;
    let tenant = header_value(&head.headers, TENANT)?;
    let request_id = required_value(&head.headers, REQUEST_ID)?;
    Ok(SubmittedMessage {
        request_id: request_id.to_owned(),
        class: DeliveryClassId(class as u16),
        tenant: tenant.and_then(|name| find_tenant(name, names)),
        destination,
        time_left,
        idempotency_key,
        order_key: order_key
            .filter(|key| !key.is_empty())
            .map(decode_order_key),
        resubmitted: client_retry == Some(RETRY_RESUBMITTED),
        from_failed_forwarder: client_retry == Some(RETRY_FORWARDER_FAILED),
        body: Bytes::new(),
    })
}

/// Returns the index of the class whose name is the path.
fn find_class(
    path: &str,
    requirements: &[SubmissionRequirements],
) -> Result<usize, SubmissionError> {
    let name = path.strip_prefix('/');
    let class = name.and_then(|name| requirements.iter().position(|r| r.class_name == name));
    class.ok_or_else(|| SubmissionError::UnknownPath {
        path: path.to_owned(),
    })
}

/// Checks that the class header names the class of the path. The header may be absent.
fn check_class_header(
    head: &Parts,
    requirements: &SubmissionRequirements,
) -> Result<(), SubmissionError> {
    match header_value(&head.headers, DELIVERY_CLASS)? {
        Some(class) if class != requirements.class_name => Err(SubmissionError::ClassMismatch {
            class: class.to_owned(),
            path: head.uri.path().to_owned(),
        }),
        _ => Ok(()),
    }
}

fn decode_time_left(
    headers: &HeaderMap,
    requirements: &SubmissionRequirements,
) -> Result<Micros, SubmissionError> {
    let value = required_value(headers, REQUEST_TIMEOUT_MS)?;
    let Some(millis) = decode_unsigned(value) else {
        return Err(SubmissionError::InvalidTimeLeft {
            value: value.to_owned(),
        });
    };
    let time_left = Micros::from(millis) * MICROS_PER_MILLI;
    if time_left > requirements.max_time_left {
        return Err(SubmissionError::TimeLeftTooLong {
            class: requirements.class_name.clone(),
            max_ms: requirements.max_time_left / MICROS_PER_MILLI,
        });
    }
    Ok(time_left)
}

fn decode_destination(headers: &HeaderMap) -> Result<DestinationId, SubmissionError> {
    let envelope = required_value(headers, ENVELOPE)?;
    let mut parts = envelope.split(ENVELOPE_SEPARATORS);
    let value = parts
        .find_map(|part| part.trim().strip_prefix(DESTINATION_PREFIX))
        .ok_or(SubmissionError::NoDestination)?;
    match decode_unsigned(value) {
        Some(number) => Ok(DestinationId(number)),
        None => Err(SubmissionError::InvalidDestination {
            value: value.to_owned(),
        }),
    }
}

fn decode_idempotency_key(
    headers: &HeaderMap,
    requirements: &SubmissionRequirements,
) -> Result<Option<String>, SubmissionError> {
    let key = header_value(headers, IDEMPOTENCY_KEY)?;
    if requirements.needs_idempotency_key && key.is_none_or(str::is_empty) {
        return Err(SubmissionError::MissingIdempotencyKey {
            class: requirements.class_name.clone(),
        });
    }
    Ok(key.map(str::to_owned))
}

fn find_tenant(name: &str, names: &Names) -> Option<TenantId> {
    let index = names.tenants.iter().position(|tenant| tenant == name)?;
    Some(TenantId(index as u32))
}

/// Returns the number by which an order key is stored. The number of a key in the format of the platform is the key
/// itself. The number of any other key is a checksum of its text, which is the same in each version of the program. Two
/// keys with the same number are ordered together, which does no harm.
fn decode_order_key(key: &str) -> u64 {
    if key.len() == ORDER_KEY_DIGITS {
        if let Ok(number) = u64::from_str_radix(key, HEX_RADIX) {
            return number;
        }
    }
    crc32fast::hash(key.as_bytes()).into()
}

/// Returns the trimmed value of a header, or `None` if the header is absent. Fails if the header occurs more than once,
/// or if its value is too long or contains characters other than visible ASCII.
fn header_value<'h>(
    headers: &'h HeaderMap,
    name: &'static str,
) -> Result<Option<&'h str>, SubmissionError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(SubmissionError::RepeatedHeader { name });
    }
    match value.to_str() {
        Ok(text) if text.len() <= MAX_VALUE_BYTES => Ok(Some(text.trim())),
        _ => Err(SubmissionError::UnreadableHeader { name }),
    }
}

/// Returns the value of a header that must be present. Fails if the header is absent or empty, or as [`header_value`]
/// does.
fn required_value<'h>(
    headers: &'h HeaderMap,
    name: &'static str,
) -> Result<&'h str, SubmissionError> {
    match header_value(headers, name)? {
        Some(value) if !value.is_empty() => Ok(value),
        _ => Err(SubmissionError::MissingHeader { name }),
    }
}

/// Decodes a whole number without a sign.
fn decode_unsigned(text: &str) -> Option<u32> {
    if text.bytes().all(|byte| byte.is_ascii_digit()) {
        text.parse().ok()
    } else {
        None
    }
}

/// Encodes the value of `Retry-After`: seconds with three decimals, as the operators' documentation requires. RFC 9110
/// section 10.2.3 allows only whole seconds.
pub fn encode_retry_after(retry_after: Micros) -> String {
    format!("{:.3}", retry_after as f64 / MICROS_PER_SECOND)
}

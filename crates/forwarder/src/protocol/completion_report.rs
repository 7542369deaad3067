//! Completion reports, which tell the platform how messages ended without delivery. Each is a JSON object on one line.

use bytes::Bytes;
use opalpulley::Micros;
use opalpulley_config::MICROS_PER_MILLI;
use serde::{Deserialize, Serialize};

/// Path at which the platform receives completion reports.
pub const COMPLETION_REPORTS_PATH: &str = "/v1/outcomes";

const STATUS_FAILED: &str = "undeliverable";
const STATUS_REJECTED: &str = "deferred";

/// How an accepted message ended without delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// The message can no longer be delivered.
    Failed,
    /// The message was not delivered in time, and the client may submit it again.
    Rejected {
        /// Time after which the client should submit the message again, in µs. `None` where the deployment does not
        /// allow a retry-after.
        retry_after: Option<Micros>,
    },
}

/// The JSON object of one completion report.
#[derive(Serialize)]
struct ReportLine<'a> {
    #[serde(rename = "id")]
    request_id: &'a str,
    #[serde(rename = "status")]
    status: &'static str,
    #[serde(rename = "again_ms", skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl<'a> ReportLine<'a> {
    /// Creates the report of a message. A retry-after is rounded up to whole milliseconds.
    fn new(request_id: &'a str, ending: Ending) -> ReportLine<'a> {
        match ending {
            Ending::Failed => ReportLine {
                request_id,
                status: STATUS_FAILED,
                retry_after_ms: None,
            },
            Ending::Rejected { retry_after } => ReportLine {
                request_id,
                status: STATUS_REJECTED,
                retry_after_ms: retry_after.map(|us| us.div_ceil(MICROS_PER_MILLI)),
            },
        }
    }
}

/// Encodes the body of a request with completion reports: one line for each, with the client's id of the message.
pub fn encode_completion_reports<'a>(reports: impl Iterator<Item = (&'a str, Ending)>) -> Bytes {
    let mut text = Vec::new();
    for (request_id, ending) in reports {
        let line = ReportLine::new(request_id, ending);
        // Writing strings and numbers to memory cannot fail.
        if serde_json::to_writer(&mut text, &line).is_ok() {
            text.push(b'\n');
        }
    }
    text.into()
}

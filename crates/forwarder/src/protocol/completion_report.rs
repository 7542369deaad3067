//! The report of messages that ended without delivery: a JSON object a line, to the platform.

use bytes::Bytes;
use opalpulley::Micros;
use opalpulley_config::MICROS_PER_MILLI;
use serde::{Deserialize, Serialize};

/// The path to which the platform takes completion reports.
pub const COMPLETION_REPORTS_PATH: &str = "/v1/outcomes";

const STATUS_FAILED: &str = "undeliverable";
const STATUS_REJECTED: &str = "deferred";

/// How an accepted message ended without delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// It can't be delivered any more.
    Failed,
    /// It was not delivered in its time and may be submitted again.
    Rejected {
        /// After how long, µs, where the deployment may say so.
        retry_after: Option<Micros>,
    },
}

/// One line of a report.
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
    /// Rounds a retry-after up to whole milliseconds.
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

/// The body of a report: a line for each message, by the client's id.
pub fn encode_completion_reports<'a>(reports: impl Iterator<Item = (&'a str, Ending)>) -> Bytes {
    let mut text = Vec::new();
    for (request_id, ending) in reports {
        let line = ReportLine::new(request_id, ending);
        // Plain strings and numbers written to memory can't fail.
        if serde_json::to_writer(&mut text, &line).is_ok() {
            text.push(b'\n');
        }
    }
    text.into()
}

//! The codecs of the wire: a file for each message. Each message is decoded once to a typed value and encoded once.
//!
//! Names of headers, paths and JSON keys stay in these files.

mod attempt;
mod completion_report;
mod endpoint_list;
mod header_names;
mod submission;
mod submission_error;

pub use attempt::{
    address, encode_attempt, encode_health_check, EndpointRequest, EndpointResponse,
};
pub use completion_report::{encode_completion_reports, Ending, COMPLETION_REPORTS_PATH};
pub use endpoint_list::{list_path, EndpointListDocument, Member, Phase};
pub use submission::{
    decode_head, encode_retry_after, SubmissionRequirements, SubmittedMessage, READINESS_PATH,
};
pub use submission_error::SubmissionError;

/// Bytes of the longest body, of a submission and of an answer.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Bytes read ahead on a connection, and thus of the longest head. Hundreds of connections fit the memory limit.
pub const READ_BUFFER_BYTES: usize = 32 * 1024;

#[cfg(test)]
mod tests;

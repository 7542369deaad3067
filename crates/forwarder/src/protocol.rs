//! The wire codecs, one file for each kind of request or document. Each kind is decoded once into a typed value and
//! encoded once.
//!
//! The names of headers, paths and JSON keys occur only in these files.

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

/// Upper bound on the length of a body in bytes, for submissions and for responses.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Upper bound on the bytes that a connection reads ahead, and thus on the length of a head. Where memory is scarce, client
/// connections read less ahead.
pub const READ_BUFFER_BYTES: usize = 32 * 1024;

#[cfg(test)]
mod tests;

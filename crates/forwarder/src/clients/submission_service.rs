//! The service for the requests of clients. It passes each submission to the dispatcher and returns the dispatcher's
//! answer.

use super::body_budget::BodyBudget;
use crate::body::{announced_length, discard_body, read_body, BodyError};
use crate::commands::{SubmissionAnswer, SubmissionRequest};
use crate::protocol::{
    decode_head, encode_retry_after, SubmissionError, SubmissionRequirements, SubmittedMessage,
    MAX_BODY_BYTES, READINESS_PATH,
};
use crate::startup_config::ClientMemory;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONNECTION, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use opalpulley::{Config, DeliveryClassConfig, DeliverySemantics, Micros};
use opalpulley_config::Names;
use slog::Logger;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Upper bound on the time from the end of a head to the end of its body. Clients wait 400 ms for the body and the
/// answer together. The timeout is longer, so that a slow client is answered rather than cut off.
const BODY_TIMEOUT: Duration = Duration::from_millis(700);
/// Counterpart of [`BODY_TIMEOUT`] for a submission that is rejected whatever its body contains.
const DISCARDED_BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// How the submissions on a connection are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionMode {
    /// Submissions are passed to the dispatcher.
    Serve,
    /// Submissions are rejected, because all other connections are taken.
    RejectSubmissions,
}

/// Answers the requests of all client connections, which share it.
pub struct SubmissionService {
    /// Names of the delivery classes and tenants in the settings.
    names: Names,
    /// Requirements on the submissions of each delivery class, in the order of the classes.
    requirements: Vec<SubmissionRequirements>,
    /// Whether the forwarder takes submissions. Set once the messages of a previous run have been submitted again, that
    /// is when an endpoint list is known, even a cached one, or 1 s after the start. Never cleared, not even at shutdown.
    pub ready: Arc<AtomicBool>,
    /// Whether each answer is the last one on its connection. Set at shutdown and never cleared.
    close_after_answer: AtomicBool,
    /// Memory for the bodies of submissions from their head to their answer.
    body_budget: BodyBudget,
    /// Upper bound on the bytes that each connection reads ahead.
    pub read_buffer_bytes: usize,
    /// The dispatcher's mailbox for submissions. A submission that finds it full is rejected.
    pub dispatcher: mpsc::Sender<SubmissionRequest>,
    /// The log of the process.
    pub log: Logger,
}

impl SubmissionService {
    /// Returns a service that rejects submissions until `ready` is set.
    pub fn new(
        names: Names,
        config: &Config,
        memory: ClientMemory,
        dispatcher: mpsc::Sender<SubmissionRequest>,
        log: Logger,
    ) -> SubmissionService {
        let classes = names.classes.iter().zip(&config.classes);
        let requirements = classes
            .map(|(name, class)| class_requirements(name, class))
            .collect();
        SubmissionService {
            names,
            requirements,
            ready: Arc::default(),
            close_after_answer: AtomicBool::new(false),
            body_budget: BodyBudget::new(memory.body_budget_bytes),
            read_buffer_bytes: memory.read_buffer_bytes,
            dispatcher,
            log,
        }
    }

    /// Makes each answer the last one on its connection from now on.
    pub fn close_connections_after_answers(&self) {
        self.close_after_answer.store(true, Ordering::Relaxed);
    }

    /// Answers one request on a connection in the given mode.
    pub async fn answer(
        &self,
        request: Request<Incoming>,
        mode: ConnectionMode,
    ) -> Response<Full<Bytes>> {
        let result = match (request.uri().path(), mode) {
            (READINESS_PATH, _) => self.answer_readiness(request.method()),
            (_, ConnectionMode::RejectSubmissions) => {
                discard_submission_body(request.into_body()).await;
                Err(SubmissionError::AllConnectionsTaken)
            }
            (_, ConnectionMode::Serve) => self.accept_submission(request).await,
        };
        let error_closes_connection = result.as_ref().is_err_and(|e| e.closes_connection());
        let closes_connection = error_closes_connection
            || mode == ConnectionMode::RejectSubmissions
            || self.close_after_answer.load(Ordering::Relaxed);
        let mut response = result.unwrap_or_else(|error| error_response(&error));
        if closes_connection {
            let headers = response.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn answer_readiness(&self, method: &Method) -> Result<Response<Full<Bytes>>, SubmissionError> {
        if method != Method::GET {
            return Err(SubmissionError::NotGet);
        }
        self.check_ready()?;
        Ok(Response::new(Full::default()))
    }

    fn check_ready(&self) -> Result<(), SubmissionError> {
        if self.ready.load(Ordering::Relaxed) {
            Ok(())
        } else {
            Err(SubmissionError::NotReady)
        }
    }

    /// Decodes a submission and answers it as the dispatcher decides. Fails if the submission is invalid or the
    /// forwarder cannot take it.
    async fn accept_submission(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, SubmissionError> {
        let (head, body) = request.into_parts();
        let mut submitted = decode_head(&head, &self.names, &self.requirements)?;
        // The head shares a read buffer of the connection, which is free again while the body is received.
        drop(head);
        let length = announced_length(&body, MAX_BODY_BYTES).map_err(submission_error)?;
        let Some(_reservation) = self.body_budget.reserve(length) else {
            discard_submission_body(body).await;
            return Err(SubmissionError::BodyMemoryExhausted);
        };
        submitted.body = read_submission_body(body).await?;
        self.check_ready()?;
        match self.submit(submitted).await? {
            SubmissionAnswer::Accepted => Ok(empty_response(StatusCode::ACCEPTED)),
            SubmissionAnswer::Rejected { retry_after } => Ok(rejection_response(retry_after)),
            SubmissionAnswer::ResourceExhausted => Ok(rejection_response(None)),
            SubmissionAnswer::Failed => Ok(empty_response(StatusCode::GATEWAY_TIMEOUT)),
            SubmissionAnswer::ConflictingContent => Err(SubmissionError::ConflictingContent),
            SubmissionAnswer::UnknownDestination => Err(SubmissionError::UnknownDestination),
        }
    }

    /// Passes a message to the dispatcher and waits for its answer. Fails if the mailbox is full or the dispatcher ends
    /// first. A dispatcher that ends drops the messages that it has not read, none of which was accepted.
    async fn submit(
        &self,
        submitted: SubmittedMessage,
    ) -> Result<SubmissionAnswer, SubmissionError> {
        let (answer_sender, answer_receiver) = oneshot::channel();
        let request = SubmissionRequest {
            submitted,
            received_at: Instant::now(),
            answer_sender,
        };
        // A dispatcher that has ended is treated like a full mailbox.
        if self.dispatcher.try_send(request).is_err() {
            return Err(SubmissionError::TooManySubmissions);
        }
        answer_receiver
            .await
            .map_err(|_| SubmissionError::ShuttingDown)
    }
}

fn class_requirements(name: &str, class: &DeliveryClassConfig) -> SubmissionRequirements {
    let is_idempotency_keyed =
        matches!(class.semantics, DeliverySemantics::IdempotencyKeyed { .. });
    SubmissionRequirements {
        class_name: name.to_owned(),
        needs_idempotency_key: is_idempotency_keyed,
        max_time_left: class.time_to_live,
    }
}

/// Reads a whole body. Fails if it exceeds [`MAX_BODY_BYTES`], does not arrive within [`BODY_TIMEOUT`], or the
/// connection fails.
async fn read_submission_body(body: Incoming) -> Result<Bytes, SubmissionError> {
    let whole_body = read_body(body, MAX_BODY_BYTES);
    match tokio::time::timeout(BODY_TIMEOUT, whole_body).await {
        Ok(result) => result.map_err(submission_error),
        Err(_) => Err(SubmissionError::BodyTimedOut),
    }
}

fn submission_error(error: BodyError) -> SubmissionError {
    match error {
        BodyError::TooLong { .. } => SubmissionError::BodyTooLarge,
        BodyError::Connection(error) => SubmissionError::BodyUnreadable(error),
    }
}

/// Reads a body that is not used. An answer that is written before the whole request is read may be lost, because the
/// system resets a connection that is closed with unread bytes.
async fn discard_submission_body(body: Incoming) {
    let whole_body = discard_body(body, MAX_BODY_BYTES);
    // The answer is the same whether or not the whole body arrives.
    drop(tokio::time::timeout(DISCARDED_BODY_TIMEOUT, whole_body).await);
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn rejection_response(retry_after: Option<Micros>) -> Response<Full<Bytes>> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    if let Some(retry_after) = retry_after {
        if let Ok(value) = HeaderValue::from_str(&encode_retry_after(retry_after)) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Returns the answer to a request that cannot be served: the text of the error on one line.
fn error_response(error: &SubmissionError) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(format!("{error}\n")));
    *response.status_mut() = error.status();
    if error.status() == StatusCode::METHOD_NOT_ALLOWED {
        let headers = response.headers_mut();
        headers.insert(ALLOW, HeaderValue::from_static("POST"));
    }
    response
}

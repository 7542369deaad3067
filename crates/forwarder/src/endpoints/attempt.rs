//! One attempt or health check, from its start to the report of its outcome.

use super::attempt_error::{AttemptError, AttemptStage, FailureCause};
use super::exchange::{Exchange, ExchangeDeadlines, ExchangeResult};
use super::response_body::{read_body, BodyEnd, BODY_TIMEOUT, ERROR_BODY_TIMEOUT};
use super::start_gate::StartGate;
use super::stream::StreamState;
use super::EndpointContext;
use crate::clock::micros;
use crate::commands::AttemptJournalling;
use crate::http_connection::UsedConnection;
use crate::protocol::{self, EndpointRequest, EndpointResponse};
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use opalpulley::{EndpointId, Event, MessageId, Outcome};
use slog::{error, info};
use std::fmt;
use std::future::ready;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The purpose of a request to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPurpose {
    /// An attempt to deliver a message.
    Attempt {
        /// The message to deliver.
        id: MessageId,
        /// Index of the attempt among those at the message, from 0.
        attempt_index: u8,
    },
    /// A check of whether the endpoint responds.
    HealthCheck,
}

/// How far an attempt or health check in flight may proceed. The variants are ordered, and a stop request only ever raises
/// the current value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopRequest {
    /// The request runs to its end.
    Continue,
    /// The request is withdrawn, unless all of its bytes have been written.
    WithdrawUnsent,
    /// The request is cancelled at once.
    Cancel,
}

/// An attempt or health check whose task has not ended. Owned by the actor of its endpoint.
pub struct InFlightRequest {
    /// The purpose of the request.
    pub purpose: RequestPurpose,
    /// Time at which the request was started.
    pub started_at: Instant,
    /// Sends stop requests to the task.
    pub stop_sender: watch::Sender<StopRequest>,
}

/// The result of an attempt or health check, as reported to the decision core.
pub struct AttemptResult {
    /// The outcome of the request.
    pub outcome: Outcome,
    /// Whether the message is completed, so that no further attempt is needed.
    pub completed: bool,
    /// The load that the endpoint reported, in the order of the settings. Empty if it reported none.
    pub load_report: Vec<f32>,
}

impl AttemptResult {
    /// Returns the result of a request without a valid response.
    pub fn without_response(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            completed: false,
            load_report: Vec::new(),
        }
    }

    /// Returns the result after the end of the response body. An incomplete response does not prove that the message had no
    /// effect, so that it becomes a connection reset.
    fn confirmed_by(self, body_end: BodyEnd) -> AttemptResult {
        if body_end == BodyEnd::Complete || self.outcome.may_have_taken_effect() {
            return self;
        }
        AttemptResult {
            outcome: Outcome::ConnectionReset,
            completed: false,
            load_report: self.load_report,
        }
    }
}

impl From<EndpointResponse> for AttemptResult {
    fn from(response: EndpointResponse) -> AttemptResult {
        AttemptResult {
            outcome: response.outcome,
            completed: response.completed,
            load_report: response.load_report,
        }
    }
}

/// What the result of an attempt or health check rests on. Written to the log.
#[derive(Clone, Copy)]
enum ResultBasis {
    /// The response, with this status.
    Response(StatusCode),
    /// The status line of a response, whose rest was missing or invalid.
    StatusLine,
    /// The request ended without a response.
    Error(AttemptError),
}

impl fmt::Display for ResultBasis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ResultBasis::Response(status) => write!(f, "response {}", status.as_u16()),
            ResultBasis::StatusLine => write!(f, "status line of an invalid response"),
            ResultBasis::Error(error) => write!(f, "{error}"),
        }
    }
}

/// An attempt or health check, run by a task of its own.
pub struct Attempt {
    /// The endpoint that receives the request.
    pub endpoint: EndpointId,
    /// The purpose of the request.
    pub purpose: RequestPurpose,
    /// The client's id of the message. `None` for a health check.
    pub request_id: Option<String>,
    /// Time at which the request was started.
    pub started_at: Instant,
    /// The deadlines of the request.
    pub deadlines: ExchangeDeadlines,
    /// The deadline of the message. `None` for a health check.
    pub message_deadline: Option<Instant>,
    /// When the start of the attempt is journalled. [`AttemptJournalling::BeforeStart`] for a health check, which is not
    /// journalled.
    pub journalled: AttemptJournalling,
    /// State shared with the other endpoint actors.
    pub context: Arc<EndpointContext>,
}

impl Attempt {
    /// Sends the request and reports its outcome.
    pub async fn run(
        self,
        request: Result<EndpointRequest, hyper::http::Error>,
        stop_requests: watch::Receiver<StopRequest>,
    ) {
        let result = match request {
            Ok(request) => self.exchange(request).run(stop_requests).await,
            Err(error) => {
                error!(self.context.log, "attempt or health check not sent: its request could not be encoded"; "problem" => %error);
                Err(AttemptError {
                    stage: AttemptStage::Writing,
                    cause: FailureCause::ConnectionLost,
                })
            }
        };
        match result {
            Ok(ExchangeResult::Response {
                response,
                connection,
                stream,
            }) => {
                self.finish_with_response(response, connection, &stream)
                    .await;
            }
            Ok(ExchangeResult::DeliveredStatusOnly) => self.report_delivered().await,
            Err(error) => self.report_error(error).await,
        }
    }

    fn exchange(&self, request: EndpointRequest) -> Exchange {
        let connect_timeout = Duration::from_micros(self.context.config.connect_timeout);
        let start_gate = self.start_gate();
        Exchange::new(
            self.endpoint,
            request,
            connect_timeout,
            self.deadlines,
            start_gate,
        )
    }

    /// Returns the gate before the first byte, if the start of the attempt is not journalled yet.
    fn start_gate(&self) -> Option<StartGate> {
        let RequestPurpose::Attempt { id, attempt_index } = self.purpose else {
            return None;
        };
        if self.journalled == AttemptJournalling::BeforeStart {
            return None;
        }
        Some(StartGate {
            dispatcher: self.context.dispatcher.clone(),
            id,
            attempt_index,
        })
    }

    /// Reports the result of a response whose head was received.
    ///
    /// A delivery is certain with the head, and its message is not sent again: it is reported at once, and the rest of the
    /// body is read only so that the endpoint can write it. After any other status the message may be sent again. The
    /// attempt is out until the response is written or its connection is closed, so the result is reported once the body
    /// has ended, or is given up, and the connection is closed.
    async fn finish_with_response(
        &self,
        response: Response<Incoming>,
        connection: UsedConnection,
        stream: &StreamState,
    ) {
        let names = &self.context.names;
        let status = response.status();
        let decoded = EndpointResponse::decode(status, response.headers(), names);
        let deadline = self.body_deadline(decoded.outcome);
        let mut body = pin!(read_body(response.into_body(), deadline));
        let early_body_end = tokio::select! {
            biased;
            end = &mut body => Some(end),
            () = ready(()) => None,
        };
        self.report_retry_after(&decoded, early_body_end).await;
        let rest_of_body = async {
            match early_body_end {
                Some(end) => end,
                None => body.await,
            }
        };
        let basis = ResultBasis::Response(status);
        let result = AttemptResult::from(decoded);
        if result.outcome == Outcome::Delivered {
            self.report(result, basis).await;
            if let Ok(_permit) = self.context.body_permits.try_acquire() {
                rest_of_body.await;
            }
            return;
        }
        let body_end = rest_of_body.await;
        drop(connection);
        stream.wait_until_closed().await;
        self.report(result.confirmed_by(body_end), basis).await;
    }

    /// Returns the instant until which the response body is read: at most until the deadline of the message, whose final
    /// answer is due then.
    fn body_deadline(&self, outcome: Outcome) -> Instant {
        let timeout = match outcome {
            Outcome::Error => ERROR_BODY_TIMEOUT,
            _ => BODY_TIMEOUT,
        };
        let deadline = Instant::now() + timeout;
        match self.message_deadline {
            Some(message_deadline) => deadline.min(message_deadline),
            None => deadline,
        }
    }

    /// Reports the retry-after header of a response. It applies from the response head on, even if the body turns out to be
    /// invalid.
    ///
    /// A rejection whose body is already complete is skipped. The outcome of a 429 contains the retry-after. The outcome of
    /// a 503 does not, so that the header of a 503 is reported only if its body is not yet complete or if the endpoint had
    /// no concurrency permit.
    async fn report_retry_after(&self, response: &EndpointResponse, body_end: Option<BodyEnd>) {
        let rejected = matches!(response.outcome, Outcome::Rejected { .. });
        if rejected && body_end == Some(BodyEnd::Complete) {
            return;
        }
        if let Some(retry_after) = response.retry_after {
            let event = Event::RetryAfterReceived {
                endpoint: self.endpoint,
                retry_after,
            };
            self.context.send_event(event).await;
        }
    }

    async fn report_delivered(&self) {
        let result = AttemptResult {
            outcome: Outcome::Delivered,
            completed: true,
            load_report: Vec::new(),
        };
        self.report(result, ResultBasis::StatusLine).await;
    }

    async fn report_error(&self, error: AttemptError) {
        let result = AttemptResult::without_response(error.into());
        self.report(result, ResultBasis::Error(error)).await;
    }

    /// Logs the result and reports it to the dispatcher. The message and the attempt identify the connection too, because
    /// it carries no other request.
    async fn report(&self, result: AttemptResult, basis: ResultBasis) {
        let log = &self.context.log;
        let endpoint = protocol::address(self.endpoint);
        let elapsed_us = micros(self.started_at.elapsed());
        match self.purpose {
            RequestPurpose::Attempt { attempt_index, .. } => {
                info!(log, "attempt ended"; "message" => &self.request_id, "attempt" => attempt_index,
                    "endpoint" => %endpoint, "basis" => %basis, "outcome" => ?result.outcome,
                    "completed" => result.completed, "elapsed_us" => elapsed_us);
            }
            RequestPurpose::HealthCheck => {
                info!(log, "health check ended"; "endpoint" => %endpoint, "basis" => %basis,
                    "outcome" => ?result.outcome, "elapsed_us" => elapsed_us);
            }
        }
        let event = request_ended_event(self.endpoint, self.purpose, result, self.started_at);
        self.context.send_event(event).await;
    }
}

/// Returns the event that reports the end of a request which was started at `started_at` and ends now.
pub fn request_ended_event(
    endpoint: EndpointId,
    purpose: RequestPurpose,
    result: AttemptResult,
    started_at: Instant,
) -> Event {
    let elapsed = micros(started_at.elapsed());
    match purpose {
        RequestPurpose::Attempt { id, attempt_index } => Event::AttemptEnded {
            id,
            attempt_index,
            endpoint,
            outcome: result.outcome,
            elapsed,
            message_completed: result.completed,
            load_metrics: result.load_report,
        },
        RequestPurpose::HealthCheck => Event::HealthCheckEnded {
            endpoint,
            outcome: result.outcome,
            elapsed,
            load_metrics: result.load_report,
        },
    }
}

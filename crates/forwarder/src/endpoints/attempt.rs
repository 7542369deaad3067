//! One attempt or health check, from its start to the report of its outcome.

use super::answer_body::{read_body, BodyEnd};
use super::attempt_error::{AttemptError, AttemptStage, FailureCause};
use super::connection::EndpointConnection;
use super::exchange::{Exchange, ExchangeDeadlines, ExchangeResult};
use super::idle_connections::ReusedConnection;
use super::EndpointContext;
use crate::clock::micros;
use crate::protocol::{self, EndpointRequest, EndpointResponse};
use hyper::body::Incoming;
use hyper::Response;
use opalpulley::{EndpointId, Event, MessageId, Outcome};
use slog::{debug, error};
use std::future::{ready, Future};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// What a request to an endpoint is for: a message's attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPurpose {
    /// An attempt at a message.
    Attempt {
        /// The message.
        id: MessageId,
        /// The number of the attempt, from 0.
        attempt_index: u8,
    },
    /// A health check.
    HealthCheck,
}

/// How far a running attempt or health check is to go. A later request never weakens an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopRequest {
    /// To its end.
    Continue,
    /// To its end if it was written whole, else no further.
    WithdrawUnsent,
    /// No further.
    Cancel,
}

/// An attempt or health check that the actor has started and that has not ended.
pub struct RunningRequest {
    /// What it is for.
    pub purpose: RequestPurpose,
    /// When it started.
    pub started: Instant,
    /// Tells its task to stop.
    pub stop: watch::Sender<StopRequest>,
}

/// How an attempt ended, as the decision core is told.
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// Whether the message is over: no further attempt is wanted.
    pub completed: bool,
    /// The load that the endpoint reported, in the order of the settings. Empty where it reported none.
    pub load_report: Vec<f32>,
}

impl AttemptResult {
    /// The result of an attempt without an answer that could be read.
    pub fn without_answer(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            completed: false,
            load_report: Vec::new(),
        }
    }

    /// The result once the body of its answer has ended. An answer that did not come whole proves nothing.
    fn confirmed_by(self, body_end: BodyEnd) -> AttemptResult {
        match body_end {
            BodyEnd::Complete => self,
            BodyEnd::Incomplete => AttemptResult {
                outcome: Outcome::ConnectionReset,
                completed: false,
                load_report: self.load_report,
            },
        }
    }
}

/// One attempt or health check.
pub struct Attempt {
    /// The endpoint that gets it.
    pub endpoint: EndpointId,
    /// What it is for.
    pub purpose: RequestPurpose,
    /// When it started.
    pub started: Instant,
    /// When it is given up.
    pub deadlines: ExchangeDeadlines,
    /// What all endpoint actors share.
    pub context: Arc<EndpointContext>,
}

impl Attempt {
    /// Sends the request and reports the outcome. Returns the connection if it can serve again.
    pub async fn run(
        self,
        request: Result<EndpointRequest, hyper::http::Error>,
        idle: Option<ReusedConnection>,
        stop_requests: watch::Receiver<StopRequest>,
    ) -> Option<EndpointConnection> {
        let result = match request {
            Ok(request) => self.exchange(request).run(idle, stop_requests).await,
            Err(problem) => {
                error!(self.context.log, "request to an endpoint could not be encoded"; "problem" => %problem);
                Err(AttemptError {
                    stage: AttemptStage::Writing,
                    cause: FailureCause::ConnectionLost,
                })
            }
        };
        match result {
            Ok(ExchangeResult::Answer {
                response,
                connection,
            }) => self.finish_with_answer(response, connection).await,
            Ok(ExchangeResult::StatusLineOk) => {
                self.report_delivered().await;
                None
            }
            Err(problem) => {
                self.report_error(problem).await;
                None
            }
        }
    }

    fn exchange(&self, request: EndpointRequest) -> Exchange {
        let connect_timeout = Duration::from_micros(self.context.config.connect_timeout);
        Exchange::new(self.endpoint, request, connect_timeout, self.deadlines)
    }

    /// Reports an answer whose head is in, and reads its body. Returns the connection if it can serve again.
    async fn finish_with_answer(
        &self,
        response: Response<Incoming>,
        connection: EndpointConnection,
    ) -> Option<EndpointConnection> {
        let names = &self.context.names;
        let answer = EndpointResponse::decode(response.status(), response.headers(), names);
        let mut body = pin!(read_body(response.into_body()));
        let end_already_in = tokio::select! {
            biased;
            end = &mut body => Some(end),
            () = ready(()) => None,
        };
        self.report_retry_after(&answer, end_already_in).await;
        let rest_of_body = async {
            match end_already_in {
                Some(end) => end,
                None => body.await,
            }
        };
        let body_end = self.report_answer(answer, rest_of_body).await;
        connection.end_exchange();
        match body_end {
            BodyEnd::Complete => connection.reuse().await,
            BodyEnd::Incomplete => None,
        }
    }

    /// Reports the outcome as soon as it is certain, and reads the body to its end. An outcome that may have taken effect
    /// is certain with the head of the answer. That the message did not take effect is believed only of an answer that
    /// came whole.
    async fn report_answer(
        &self,
        answer: EndpointResponse,
        rest_of_body: impl Future<Output = BodyEnd>,
    ) -> BodyEnd {
        let result = AttemptResult {
            outcome: answer.outcome,
            completed: answer.completed,
            load_report: answer.load_report,
        };
        if result.outcome.may_have_taken_effect() {
            self.report(result).await;
            rest_of_body.await
        } else {
            let body_end = rest_of_body.await;
            self.report(result.confirmed_by(body_end)).await;
            body_end
        }
    }

    /// Reports the retry-after header of an answer. It binds from the head of the answer on, whatever becomes of the body.
    ///
    /// A rejection whose body is already whole is skipped. A 429 has the retry-after in its outcome. A 503 has none there, so
    /// that its header is reported only if its body is not yet whole, or if the endpoint had no concurrency permit.
    async fn report_retry_after(&self, answer: &EndpointResponse, body_end: Option<BodyEnd>) {
        let rejected = matches!(answer.outcome, Outcome::Rejected { .. });
        if rejected && body_end == Some(BodyEnd::Complete) {
            return;
        }
        if let Some(retry_after) = answer.retry_after {
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
        self.report(result).await;
    }

    async fn report_error(&self, problem: AttemptError) {
        debug!(self.context.log, "attempt failed"; "endpoint" => %protocol::address(self.endpoint), "problem" => %problem);
        self.report(AttemptResult::without_answer(problem.into()))
            .await;
    }

    async fn report(&self, result: AttemptResult) {
        let event = ended_event(self.endpoint, self.purpose, result, self.started);
        self.context.send_event(event).await;
    }
}

/// The event that reports the end of an attempt or health check that started at `started` and ends now.
pub fn ended_event(
    endpoint: EndpointId,
    purpose: RequestPurpose,
    result: AttemptResult,
    started: Instant,
) -> Event {
    let elapsed = micros(started.elapsed());
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

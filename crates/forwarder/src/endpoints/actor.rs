//! The actor of one endpoint, with its requests in flight.

use super::attempt::{
    request_ended_event, Attempt, AttemptResult, InFlightRequest, RequestPurpose, StopRequest,
};
use super::exchange::ExchangeDeadlines;
use super::EndpointContext;
use crate::commands::{AttemptJournalling, AttemptRequest, EndpointCommand};
use crate::protocol::{self, EndpointRequest};
use opalpulley::{EndpointId, Outcome};
use slog::error;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{Id, JoinError, JoinSet};
use tokio::time::Instant;

/// Timeout of a health check, as a multiple of the connect timeout: it covers opening a connection and waiting for the
/// response. The dispatcher relies on `HEALTH_CHECK_CONNECT_TIMEOUTS`, which is this factor rounded up.
const HEALTH_CHECK_TIMEOUT_FACTOR: f64 = 1.5;

/// Whether the dispatcher may still send commands.
#[derive(Clone, Copy, PartialEq, Eq)]
enum MailboxState {
    Open,
    Closed,
}

/// The conditions under which an attempt or health check is sent.
struct RequestConditions {
    /// Upper bound on the time from the start of the request to the head of the response.
    timeout: Duration,
    /// The first byte is written before this instant, or no byte is written.
    send_deadline: Instant,
    /// The deadline of the message. `None` for a health check.
    message_deadline: Option<Instant>,
    /// When the start of the attempt is journalled.
    journalled: AttemptJournalling,
}

/// Sends the attempts and health checks of one endpoint, as the dispatcher commands.
pub struct Endpoint {
    id: EndpointId,
    context: Arc<EndpointContext>,
    /// One task per attempt or health check in flight. A task owns the connection of its request.
    pub(super) tasks: JoinSet<()>,
    /// The attempts and health checks in flight, by the id of their task in `tasks`.
    pub(super) in_flight: BTreeMap<Id, InFlightRequest>,
}

impl Endpoint {
    /// Creates an actor without requests.
    pub fn new(id: EndpointId, context: Arc<EndpointContext>) -> Endpoint {
        Endpoint {
            id,
            context,
            tasks: JoinSet::new(),
            in_flight: BTreeMap::new(),
        }
    }

    /// Runs until the mailbox is closed and no attempt or health check is in flight.
    pub async fn run(mut self, mut commands: mpsc::Receiver<EndpointCommand>) {
        let mut mailbox = MailboxState::Open;
        while mailbox == MailboxState::Open || !self.tasks.is_empty() {
            tokio::select! {
                command = commands.recv(), if mailbox == MailboxState::Open => match command {
                    Some(command) => self.handle_command(command),
                    None => mailbox = MailboxState::Closed,
                },
                Some(ended) = self.tasks.join_next_with_id(), if !self.tasks.is_empty() => match ended {
                    Ok((task_id, ())) => {
                        self.in_flight.remove(&task_id);
                    }
                    Err(error) => self.handle_task_failure(error).await,
                },
            }
        }
    }

    fn handle_command(&mut self, command: EndpointCommand) {
        match command {
            EndpointCommand::StartAttempt(request) => self.start_attempt(*request),
            EndpointCommand::StartHealthCheck => self.start_health_check(),
            EndpointCommand::CancelAttempt { id, attempt_index } => {
                let cancelled_purpose = RequestPurpose::Attempt { id, attempt_index };
                self.request_stop(StopRequest::Cancel, |purpose| purpose == cancelled_purpose);
            }
            EndpointCommand::WithdrawUnsent => {
                self.request_stop(StopRequest::WithdrawUnsent, |_| true);
            }
        }
    }

    /// Sends a stop request to each attempt or health check in flight whose purpose satisfies `applies_to`.
    fn request_stop(&self, request: StopRequest, applies_to: impl Fn(RequestPurpose) -> bool) {
        for in_flight in self.in_flight.values() {
            if applies_to(in_flight.purpose) {
                in_flight
                    .stop_sender
                    .send_modify(|current| *current = request.max(*current));
            }
        }
    }

    fn start_attempt(&mut self, attempt: AttemptRequest) {
        let request = protocol::encode_attempt(
            self.id,
            &attempt.request_id,
            attempt.idempotency_key.as_deref(),
            attempt.times.timeout,
            &attempt.body,
        );
        let purpose = RequestPurpose::Attempt {
            id: attempt.id,
            attempt_index: attempt.attempt_index,
        };
        let request_id = Some(attempt.request_id);
        let conditions = RequestConditions {
            timeout: attempt.times.timeout,
            send_deadline: attempt.times.send_by,
            message_deadline: Some(attempt.times.deadline),
            journalled: attempt.journalled,
        };
        self.start_request(purpose, request_id, request, conditions);
    }

    fn start_health_check(&mut self) {
        let request = protocol::encode_health_check(self.id);
        let connect_timeout = Duration::from_micros(self.context.config.connect_timeout);
        let timeout = connect_timeout.mul_f64(HEALTH_CHECK_TIMEOUT_FACTOR);
        let conditions = RequestConditions {
            timeout,
            send_deadline: Instant::now() + timeout,
            message_deadline: None,
            journalled: AttemptJournalling::BeforeStart,
        };
        self.start_request(RequestPurpose::HealthCheck, None, request, conditions);
    }

    fn start_request(
        &mut self,
        purpose: RequestPurpose,
        request_id: Option<String>,
        request: Result<EndpointRequest, hyper::http::Error>,
        conditions: RequestConditions,
    ) {
        let (stop_sender, stop_requests) = watch::channel(StopRequest::Continue);
        let started_at = Instant::now();
        let attempt = Attempt {
            endpoint: self.id,
            purpose,
            request_id,
            started_at,
            deadlines: ExchangeDeadlines {
                send_deadline: conditions.send_deadline,
                response_deadline: started_at + conditions.timeout,
            },
            message_deadline: conditions.message_deadline,
            journalled: conditions.journalled,
            context: self.context.clone(),
        };
        let task = self.tasks.spawn(attempt.run(request, stop_requests));
        let in_flight = InFlightRequest {
            purpose,
            started_at,
            stop_sender,
        };
        self.in_flight.insert(task.id(), in_flight);
    }

    /// Reports a connection reset for the request whose task panicked, because that request may have taken effect. Other
    /// requests are not affected.
    async fn handle_task_failure(&mut self, error: JoinError) {
        error!(self.context.log, "task of an attempt or health check failed"; "problem" => %error);
        if let Some(in_flight) = self.in_flight.remove(&error.id()) {
            let result = AttemptResult::without_response(Outcome::ConnectionReset);
            let event =
                request_ended_event(self.id, in_flight.purpose, result, in_flight.started_at);
            self.context.send_event(event).await;
        }
    }
}

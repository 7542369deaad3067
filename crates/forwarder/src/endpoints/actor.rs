//! The actor of one endpoint: its mailbox, its idle connections and its attempts in flight.

use super::attempt::{
    ended_event, Attempt, AttemptResult, RequestPurpose, RunningRequest, StopRequest,
};
use super::connection::EndpointConnection;
use super::exchange::ExchangeDeadlines;
use super::idle_connections::IdleConnections;
use super::EndpointContext;
use crate::commands::{AttemptRequest, EndpointCommand};
use crate::protocol::{self, EndpointRequest};
use opalpulley::{EndpointId, Outcome};
use slog::error;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{Id, JoinError, JoinSet};
use tokio::time::Instant;

/// The timeout of a health check as a multiple of the connect timeout: it opens a connection and waits for its answer.
/// The dispatcher reckons with `HEALTH_CHECK_CONNECT_TIMEOUTS`, the same rounded up.
const HEALTH_CHECK_TIMEOUT_FACTOR: f64 = 1.5;

/// Whether the dispatcher still sends commands.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Mailbox {
    Open,
    Closed,
}

/// The actor of one endpoint.
pub struct Endpoint {
    id: EndpointId,
    context: Arc<EndpointContext>,
    idle: IdleConnections,
    /// One task for each attempt or health check in flight. It gives back its connection if that can serve again.
    pub(super) tasks: JoinSet<Option<EndpointConnection>>,
    /// The same attempts and health checks, by their tasks.
    pub(super) in_flight: BTreeMap<Id, RunningRequest>,
}

impl Endpoint {
    /// An actor without connections.
    pub fn new(id: EndpointId, context: Arc<EndpointContext>) -> Endpoint {
        let closed_after = Duration::from_micros(context.config.connection_idle_timeout);
        Endpoint {
            id,
            context,
            idle: IdleConnections::new(closed_after),
            tasks: JoinSet::new(),
            in_flight: BTreeMap::new(),
        }
    }

    /// Runs until the mailbox is closed and no attempt or health check is in flight.
    pub async fn run(mut self, mut commands: mpsc::Receiver<EndpointCommand>) {
        let mut mailbox = Mailbox::Open;
        while mailbox == Mailbox::Open || !self.tasks.is_empty() {
            let retirement = self.idle.next_retirement();
            let retirement_or_now = retirement.unwrap_or_else(Instant::now);
            tokio::select! {
                command = commands.recv(), if mailbox == Mailbox::Open => match command {
                    Some(command) => self.handle_command(command),
                    None => {
                        mailbox = Mailbox::Closed;
                        self.idle.close_all();
                    }
                },
                Some(ended) = self.tasks.join_next_with_id(), if !self.tasks.is_empty() => match ended {
                    Ok((task, connection)) => self.attempt_ended(task, connection, mailbox),
                    Err(problem) => self.attempt_task_failed(problem).await,
                },
                () = tokio::time::sleep_until(retirement_or_now), if retirement.is_some() => {
                    self.idle.retire();
                }
            }
        }
    }

    fn handle_command(&mut self, command: EndpointCommand) {
        match command {
            EndpointCommand::StartAttempt(request) => self.start_attempt(*request),
            EndpointCommand::StartHealthCheck => self.start_health_check(),
            EndpointCommand::CancelAttempt { id, attempt_index } => {
                let cancelled = RequestPurpose::Attempt { id, attempt_index };
                self.request_stop(StopRequest::Cancel, |purpose| purpose == cancelled);
            }
            EndpointCommand::WithdrawUnsent => {
                self.request_stop(StopRequest::WithdrawUnsent, |_| true);
            }
            EndpointCommand::CloseIdleConnections => self.idle.close_all(),
        }
    }

    /// Tells the attempts and health checks that `applies_to` picks to stop.
    fn request_stop(&self, request: StopRequest, applies_to: impl Fn(RequestPurpose) -> bool) {
        for in_flight in self.in_flight.values() {
            if applies_to(in_flight.purpose) {
                in_flight
                    .stop
                    .send_modify(|current| *current = request.max(*current));
            }
        }
    }

    fn start_attempt(&mut self, attempt: AttemptRequest) {
        let request = protocol::encode_attempt(
            self.id,
            &attempt.request_id,
            attempt.idempotency_key.as_deref(),
            attempt.timeout,
            &attempt.body,
        );
        let purpose = RequestPurpose::Attempt {
            id: attempt.id,
            attempt_index: attempt.attempt_index,
        };
        self.start(purpose, request, attempt.timeout, attempt.send_by);
    }

    fn start_health_check(&mut self) {
        let request = protocol::encode_health_check(self.id);
        let connect_timeout = Duration::from_micros(self.context.config.connect_timeout);
        let timeout = connect_timeout.mul_f64(HEALTH_CHECK_TIMEOUT_FACTOR);
        let send_by = Instant::now() + timeout;
        self.start(RequestPurpose::HealthCheck, request, timeout, send_by);
    }

    fn start(
        &mut self,
        purpose: RequestPurpose,
        request: Result<EndpointRequest, hyper::http::Error>,
        timeout: Duration,
        send_by: Instant,
    ) {
        let (stop, stop_requests) = watch::channel(StopRequest::Continue);
        let started = Instant::now();
        let idle = self.idle.take();
        let attempt = Attempt {
            endpoint: self.id,
            purpose,
            started,
            deadlines: ExchangeDeadlines {
                send_by,
                answer_by: started + timeout,
            },
            context: self.context.clone(),
        };
        let task = self.tasks.spawn(attempt.run(request, idle, stop_requests));
        let in_flight = RunningRequest {
            purpose,
            started,
            stop,
        };
        self.in_flight.insert(task.id(), in_flight);
    }

    fn attempt_ended(
        &mut self,
        task: Id,
        connection: Option<EndpointConnection>,
        mailbox: Mailbox,
    ) {
        self.in_flight.remove(&task);
        if let (Some(connection), Mailbox::Open) = (connection, mailbox) {
            self.keep_idle(connection);
        }
    }

    /// Keeps a connection for the next request. Closes it where no more may be idle.
    fn keep_idle(&mut self, connection: EndpointConnection) {
        if let Ok(permit) = self.context.idle.clone().try_acquire_owned() {
            self.idle.add(connection, permit);
        }
    }

    /// A task that panicked ends its own attempt only. That attempt may have taken effect.
    async fn attempt_task_failed(&mut self, problem: JoinError) {
        error!(self.context.log, "attempt task failed"; "problem" => %problem);
        if let Some(in_flight) = self.in_flight.remove(&problem.id()) {
            let result = AttemptResult::without_answer(Outcome::ConnectionReset);
            let event = ended_event(self.id, in_flight.purpose, result, in_flight.started);
            self.context.send_event(event).await;
        }
    }
}

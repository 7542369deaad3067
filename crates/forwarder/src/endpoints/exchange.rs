//! One request to an endpoint, from the choice of its connection to the head of the answer.
//!
//! The request is given up by dropping the work on it, which closes its connection.

use super::attempt::StopRequest;
use super::attempt_error::{AttemptError, AttemptStage, FailureCause};
use super::connection::EndpointConnection;
use super::idle_connections::{ReusedConnection, SETTLE_TIME};
use super::stream::{AnswerProgress, StreamState};
use crate::protocol::EndpointRequest;
use hyper::body::Incoming;
use hyper::Response;
use opalpulley::EndpointId;
use std::future::{pending, Future};
use std::pin::{pin, Pin};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// From the first byte of an answer to the end of its head. Endpoints write a head at once.
const ANSWER_HEAD_TIMEOUT: Duration = Duration::from_millis(300);

/// The status of an answer that delivers a message.
const STATUS_OK: u16 = 200;

/// Turns of the runtime that bring bytes from a socket to the task that waits for them: one for the connection, one for the
/// task itself.
const TURNS_TO_READ_SOCKETS: u32 = 2;

/// What an exchange brought.
pub enum ExchangeResult {
    /// The head of an answer. Its body may still be on its way.
    Answer {
        /// The head, and the body as it comes.
        response: Response<Incoming>,
        /// The connection it came on.
        connection: EndpointConnection,
    },
    /// A first line with status 200. The rest of the head never came, or could not be read.
    StatusLineOk,
}

/// The moments at which a request is given up.
#[derive(Clone, Copy)]
pub struct ExchangeDeadlines {
    /// The first byte is written before this moment, or none is.
    pub send_by: Instant,
    /// The head of the answer is in before this moment.
    pub answer_by: Instant,
}

/// One request and the state of its stream.
pub struct Exchange {
    endpoint: EndpointId,
    request: EndpointRequest,
    connect_timeout: Duration,
    deadlines: ExchangeDeadlines,
    /// The stream on which the request is written now.
    current_stream: watch::Sender<Option<Arc<StreamState>>>,
}

impl Exchange {
    /// Prepares a request. Nothing is sent before `run`.
    pub fn new(
        endpoint: EndpointId,
        request: EndpointRequest,
        connect_timeout: Duration,
        deadlines: ExchangeDeadlines,
    ) -> Exchange {
        Exchange {
            endpoint,
            request,
            connect_timeout,
            deadlines,
            current_stream: watch::Sender::new(None),
        }
    }

    /// Sends the request and waits for the head of its answer, for a deadline or for a stop request.
    pub async fn run(
        self,
        idle: Option<ReusedConnection>,
        mut stop_requests: watch::Receiver<StopRequest>,
    ) -> Result<ExchangeResult, AttemptError> {
        let mut work = pin!(self.send(idle));
        let ended = tokio::select! {
            biased;
            result = &mut work => Ok(result),
            () = tokio::time::sleep_until(self.deadlines.answer_by) => Err(FailureCause::TimedOut),
            cause = self.stop_requested(&mut stop_requests) => Err(cause),
            () = self.answer_head_stalled() => Err(FailureCause::ConnectionLost),
        };
        let result = match ended {
            Ok(result) => result,
            Err(cause) => self.give_up(cause, work).await,
        };
        // A first line with status 200 is true, whatever became of the rest.
        if result.is_err() && self.answer_progress() == Some(AnswerProgress::Status(STATUS_OK)) {
            return Ok(ExchangeResult::StatusLineOk);
        }
        result
    }

    /// Sends on the idle connection, or on a new one where the idle one took no byte of the request.
    async fn send(&self, idle: Option<ReusedConnection>) -> Result<ExchangeResult, AttemptError> {
        if let Some(idle) = idle {
            match self.send_on_idle(idle).await {
                Err(AttemptError {
                    stage: AttemptStage::Connecting,
                    cause: FailureCause::ConnectionLost,
                }) => {}
                result => return result,
            }
        }
        self.send_on_new().await
    }

    /// Fails with `ConnectionLost` while connecting where the connection took no byte of the request.
    async fn send_on_idle(&self, idle: ReusedConnection) -> Result<ExchangeResult, AttemptError> {
        let ReusedConnection {
            mut connection,
            idle_since,
        } = idle;
        tokio::time::sleep_until(idle_since + SETTLE_TIME).await;
        if !connection.usable().await {
            return Err(AttemptError::connecting(FailureCause::ConnectionLost));
        }
        self.check_send_deadline()?;
        self.send_on(connection).await
    }

    /// Checks the send deadline before and after the connection opens. A connection that opens late must not carry a
    /// repeat out of the time in which the endpoint recognizes it as one.
    async fn send_on_new(&self) -> Result<ExchangeResult, AttemptError> {
        self.check_send_deadline()?;
        let open = EndpointConnection::open(self.endpoint, self.connect_timeout);
        let opened = tokio::time::timeout_at(self.deadlines.send_by, open).await;
        let connection = match opened {
            Ok(opened) => opened?,
            Err(_) => return Err(send_deadline_passed()),
        };
        self.check_send_deadline()?;
        self.send_on(connection).await
    }

    async fn send_on(
        &self,
        mut connection: EndpointConnection,
    ) -> Result<ExchangeResult, AttemptError> {
        self.current_stream
            .send_replace(Some(connection.stream_state()));
        let response = connection.send(self.request.clone()).await?;
        Ok(ExchangeResult::Answer {
            response,
            connection,
        })
    }

    fn check_send_deadline(&self) -> Result<(), AttemptError> {
        if Instant::now() < self.deadlines.send_by {
            Ok(())
        } else {
            Err(send_deadline_passed())
        }
    }

    /// Waits for a stop request that applies. A request that was written whole is not withdrawn any more.
    async fn stop_requested(&self, requests: &mut watch::Receiver<StopRequest>) -> FailureCause {
        while requests.changed().await.is_ok() {
            let request = *requests.borrow_and_update();
            match request {
                StopRequest::Cancel => return FailureCause::Cancelled,
                StopRequest::WithdrawUnsent if !self.written_whole() => {
                    return FailureCause::WithdrawnBeforeSend;
                }
                StopRequest::WithdrawUnsent | StopRequest::Continue => {}
            }
        }
        pending().await
    }

    /// Waits until an answer has begun on the current stream and the rest of its head is overdue.
    async fn answer_head_stalled(&self) {
        let mut streams = self.current_stream.subscribe();
        loop {
            let stream = streams.borrow_and_update().clone();
            let stalled = async {
                match &stream {
                    Some(state) => state.answer_head_stalled(ANSWER_HEAD_TIMEOUT).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                () = stalled => return,
                Ok(()) = streams.changed() => {} // another connection carries the request now
            }
        }
    }

    /// The result of a request that is given up. One that was written whole gets the bytes that its socket holds by now,
    /// so that an answer or a retry-after that has already arrived counts.
    async fn give_up(
        &self,
        cause: FailureCause,
        mut work: Pin<&mut impl Future<Output = Result<ExchangeResult, AttemptError>>>,
    ) -> Result<ExchangeResult, AttemptError> {
        let answerable = matches!(cause, FailureCause::TimedOut | FailureCause::Cancelled);
        if answerable && self.written_whole() {
            tokio::select! {
                biased;
                result = &mut work => return result,
                () = read_sockets_once_more() => {}
            }
        }
        Err(AttemptError {
            stage: self.stage_when_given_up(),
            cause,
        })
    }

    /// A request whose writing has begun counts as `Written`, whether or not it is whole.
    fn stage_when_given_up(&self) -> AttemptStage {
        match self.answer_progress() {
            None | Some(AnswerProgress::NoRequest) => AttemptStage::Connecting,
            Some(_) => AttemptStage::Written,
        }
    }

    fn written_whole(&self) -> bool {
        let stream = self.current_stream.borrow();
        stream
            .as_ref()
            .is_some_and(|state| state.request_bytes_written() >= self.request.wire_bytes)
    }

    fn answer_progress(&self) -> Option<AnswerProgress> {
        let stream = self.current_stream.borrow();
        stream.as_ref().map(|state| state.answer_progress())
    }
}

fn send_deadline_passed() -> AttemptError {
    AttemptError::connecting(FailureCause::SendDeadlinePassed)
}

/// Lets the runtime read its sockets, and lets the tasks run that wait for them.
async fn read_sockets_once_more() {
    for _ in 0..TURNS_TO_READ_SOCKETS {
        tokio::task::yield_now().await;
    }
}

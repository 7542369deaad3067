//! One request to an endpoint, from opening its connection to the head of the response.
//!
//! A request is aborted by dropping its future, which closes the connection.

use super::attempt::StopRequest;
use super::attempt_error::{AttemptError, AttemptStage, FailureCause};
use super::connection::EndpointConnection;
use super::start_gate::StartGate;
use super::stream::{ResponseProgress, StreamState};
use crate::http_connection::UsedConnection;
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

/// Upper bound on the time from the first byte of a response to the end of its head. Endpoints write a response head at
/// once.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_millis(300);

/// Status of a response that confirms the delivery of a message.
const DELIVERED_STATUS: u16 = 200;

/// Number of times to yield to the runtime until bytes in a socket reach the task that waits for them: one for the task of
/// the connection and one for the waiting task.
const SOCKET_READ_YIELDS: u32 = 2;

/// The result of an exchange that received a response or at least its status line.
pub enum ExchangeResult {
    /// The response head was received. The body may be incomplete.
    Response {
        /// The response head, and the body as it is received.
        response: Response<Incoming>,
        /// The connection that carries the response.
        connection: UsedConnection,
        /// The state of the stream under the connection.
        stream: Arc<StreamState>,
    },
    /// Only a status line with status 200 was received. The rest of the head was missing or invalid.
    DeliveredStatusOnly,
}

/// The deadlines of a request.
#[derive(Clone, Copy)]
pub struct ExchangeDeadlines {
    /// The first byte is written before this instant, or no byte is written.
    pub send_deadline: Instant,
    /// The request times out if the response head is not received by this instant.
    pub response_deadline: Instant,
}

/// A request and the state of the stream that carries it. Owned by the task of the attempt.
pub struct Exchange {
    endpoint: EndpointId,
    request: EndpointRequest,
    connect_timeout: Duration,
    deadlines: ExchangeDeadlines,
    /// Must be passed before the first byte. `None` if the start of the attempt is journalled already, and for a health
    /// check.
    start_gate: Option<StartGate>,
    /// State of the stream that the request is written to. `None` before the connection is open.
    stream: watch::Sender<Option<Arc<StreamState>>>,
}

impl Exchange {
    /// Creates an exchange. Nothing is sent before `run`.
    pub fn new(
        endpoint: EndpointId,
        request: EndpointRequest,
        connect_timeout: Duration,
        deadlines: ExchangeDeadlines,
        start_gate: Option<StartGate>,
    ) -> Exchange {
        Exchange {
            endpoint,
            request,
            connect_timeout,
            deadlines,
            start_gate,
            stream: watch::Sender::new(None),
        }
    }

    /// Sends the request and waits for the response head. Fails on a deadline, a stop request, a stalled response head or
    /// the loss of the connection; the connection is closed then.
    pub async fn run(
        self,
        mut stop_requests: watch::Receiver<StopRequest>,
    ) -> Result<ExchangeResult, AttemptError> {
        let result = self.send_until_stopped(&mut stop_requests).await;
        let Err(error) = result else { return result };
        self.wait_until_closed().await;
        // A status line with status 200 confirms the delivery, even if the rest of the response is missing or invalid.
        if self.response_progress() == Some(ResponseProgress::Status(DELIVERED_STATUS)) {
            return Ok(ExchangeResult::DeliveredStatusOnly);
        }
        Err(error)
    }

    /// Sends the request until it has a response head, fails or is aborted. If it fails, its connection is dropped.
    async fn send_until_stopped(
        &self,
        stop_requests: &mut watch::Receiver<StopRequest>,
    ) -> Result<ExchangeResult, AttemptError> {
        let mut request_future = pin!(self.send());
        let ended = tokio::select! {
            biased;
            result = &mut request_future => Ok(result),
            () = tokio::time::sleep_until(self.deadlines.response_deadline) => Err(FailureCause::TimedOut),
            cause = self.wait_for_stop(stop_requests) => Err(cause),
            () = self.wait_for_stalled_head() => Err(FailureCause::ConnectionLost),
        };
        match ended {
            Ok(result) => result,
            Err(cause) => self.abort(cause, request_future).await,
        }
    }

    /// Waits until the connection, which must have been dropped, is closed. Until then the call is out.
    async fn wait_until_closed(&self) {
        let stream = self.stream.borrow().clone();
        if let Some(stream) = stream {
            stream.wait_until_closed().await;
        }
    }

    /// Opens a connection, has the start of the attempt journalled if it is not yet, and sends the request. Checks the send
    /// deadline before and after that: a repeat that is sent late could reach the endpoint outside the deduplication window.
    async fn send(&self) -> Result<ExchangeResult, AttemptError> {
        self.check_send_deadline()?;
        let request = self.request.clone();
        let open = EndpointConnection::open(self.endpoint, request, self.connect_timeout);
        let opened = tokio::time::timeout_at(self.deadlines.send_deadline, open).await;
        let connection = match opened {
            Ok(opened) => opened?,
            Err(_) => return Err(send_deadline_passed()),
        };
        if let Some(start_gate) = &self.start_gate {
            start_gate.pass().await?;
        }
        self.check_send_deadline()?;
        let stream = connection.stream_state();
        self.stream.send_replace(Some(stream.clone()));
        let (response, connection) = connection.send().await?;
        Ok(ExchangeResult::Response {
            response,
            connection,
            stream,
        })
    }

    fn check_send_deadline(&self) -> Result<(), AttemptError> {
        if Instant::now() < self.deadlines.send_deadline {
            Ok(())
        } else {
            Err(send_deadline_passed())
        }
    }

    /// Waits for a stop request that applies to this exchange. A request whose bytes have all been written is no longer
    /// withdrawn.
    async fn wait_for_stop(&self, requests: &mut watch::Receiver<StopRequest>) -> FailureCause {
        while requests.changed().await.is_ok() {
            let request = *requests.borrow_and_update();
            match request {
                StopRequest::Cancel => return FailureCause::Cancelled,
                StopRequest::WithdrawUnsent if !self.request_fully_written() => {
                    return FailureCause::WithdrawnBeforeSend;
                }
                StopRequest::WithdrawUnsent | StopRequest::Continue => {}
            }
        }
        pending().await
    }

    /// Waits until the response has begun and its head is overdue.
    async fn wait_for_stalled_head(&self) {
        let mut streams = self.stream.subscribe();
        let opened = streams.wait_for(Option::is_some).await;
        let Some(stream) = opened.ok().and_then(|stream| stream.clone()) else {
            return pending().await;
        };
        stream.wait_for_stalled_head(RESPONSE_HEAD_TIMEOUT).await;
    }

    /// Aborts the request and returns its result. If all bytes were written, the bytes that the socket already holds are
    /// read first, so that a response or a retry-after in the socket is not lost.
    async fn abort(
        &self,
        cause: FailureCause,
        mut request_future: Pin<&mut impl Future<Output = Result<ExchangeResult, AttemptError>>>,
    ) -> Result<ExchangeResult, AttemptError> {
        let response_may_have_arrived =
            matches!(cause, FailureCause::TimedOut | FailureCause::Cancelled);
        if response_may_have_arrived && self.request_fully_written() {
            tokio::select! {
                biased;
                result = &mut request_future => return result,
                () = yield_to_socket_reads() => {}
            }
        }
        Err(AttemptError {
            stage: self.stage_at_abort(),
            cause,
        })
    }

    /// Returns the stage of an aborted request. It is `Written` as soon as writing has begun, even if some bytes are
    /// unwritten.
    fn stage_at_abort(&self) -> AttemptStage {
        match self.response_progress() {
            None | Some(ResponseProgress::NoRequest) => AttemptStage::Connecting,
            Some(_) => AttemptStage::Written,
        }
    }

    fn request_fully_written(&self) -> bool {
        let stream = self.stream.borrow();
        stream
            .as_ref()
            .is_some_and(|state| state.request_fully_written())
    }

    fn response_progress(&self) -> Option<ResponseProgress> {
        let stream = self.stream.borrow();
        stream.as_ref().map(|state| state.response_progress())
    }
}

fn send_deadline_passed() -> AttemptError {
    AttemptError::connecting(FailureCause::SendDeadlinePassed)
}

/// Yields until the runtime has read its sockets and run the tasks that wait for them.
async fn yield_to_socket_reads() {
    for _ in 0..SOCKET_READ_YIELDS {
        tokio::task::yield_now().await;
    }
}

//! One client connection: HTTP/1.1 with timeouts, and the tower service that answers its requests.

use super::client_stream::ClientStream;
use super::connection_state::{ConnectionPhase, ConnectionState};
use super::submission_service::{ConnectionMode, SubmissionService};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use slog::debug;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tower::Service;

/// Upper bound on the time from the start of the connection, or from the previous answer, to the end of a request's
/// head. It is also the keep-alive limit: a connection without a further request is closed after this time.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2100);
/// Counterpart of [`HEAD_TIMEOUT`] on a connection in the mode [`ConnectionMode::RejectSubmissions`].
const REJECTING_HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// The tower service for the requests of one connection.
#[derive(Clone)]
pub struct ConnectionService {
    /// Answers the requests. All connections share it.
    pub submission_service: Arc<SubmissionService>,
    /// The state of the connection, shared with the listener.
    pub state: Arc<ConnectionState>,
    /// Whether the connection serves or rejects submissions. Set when the connection is accepted.
    pub mode: ConnectionMode,
}

/// Keeps the connection in the phase [`ConnectionPhase::Answering`] until the answer is ready or its future is dropped.
/// The connection is idle afterwards. The answer is written only after the guard is dropped.
struct AnsweringGuard(Arc<ConnectionState>);

impl AnsweringGuard {
    fn enter(state: Arc<ConnectionState>) -> AnsweringGuard {
        state.enter(ConnectionPhase::Answering);
        AnsweringGuard(state)
    }
}

impl Drop for AnsweringGuard {
    fn drop(&mut self) {
        self.0.enter(ConnectionPhase::Idle);
    }
}

impl Service<Request<Incoming>> for ConnectionService {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let answering = AnsweringGuard::enter(self.state.clone());
        let submission_service = self.submission_service.clone();
        let mode = self.mode;
        Box::pin(async move {
            let response = submission_service.answer(request, mode).await;
            drop(answering);
            Ok(response)
        })
    }
}

/// Serves a connection until it ends or the listener requests its close. Received bytes are read before a close, so a
/// request that is unread in the socket is still answered.
pub async fn serve_connection(socket: TcpStream, service: ConnectionService) {
    let log = service.submission_service.log.clone();
    let state = service.state.clone();
    if let Err(error) = socket.set_nodelay(true) {
        debug!(log, "client connection served without TCP_NODELAY: the option could not be set"; "problem" => %error);
    }
    let stream = ClientStream::new(socket, state.clone());
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout(service.mode))
        .max_buf_size(service.submission_service.read_buffer_bytes)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(service));
    tokio::pin!(connection);
    let ended = tokio::select! {
        biased;
        ended = &mut connection => ended,
        () = state.wait_for_close_request() => match state.phase() {
            ConnectionPhase::AwaitingFirstRequest | ConnectionPhase::ReadingHead => return,
            ConnectionPhase::Idle | ConnectionPhase::Answering => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        },
    };
    if let Err(error) = ended {
        debug!(log, "client connection failed"; "problem" => %error);
    }
}

/// Returns the upper bound on the time in which a head must be received on a connection in this mode.
fn head_timeout(mode: ConnectionMode) -> Duration {
    match mode {
        ConnectionMode::Serve => HEAD_TIMEOUT,
        ConnectionMode::RejectSubmissions => REJECTING_HEAD_TIMEOUT,
    }
}

//! One client connection: HTTP/1.1 with time limits, and the service for its requests.

use super::client_stream::ClientStream;
use super::connection_state::{ConnectionPhase, ConnectionState};
use super::submission_service::{ConnectionMode, SubmissionService};
use crate::protocol::READ_BUFFER_BYTES;
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

/// From the connection's start, or the last answer, to the end of a head. It is the keep-alive limit too: a connection
/// without a further request is closed after this time.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2100);
/// The same on a connection that only rejects.
const REJECTING_HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// The requests of one connection.
#[derive(Clone)]
pub struct ConnectionService {
    /// Answers them.
    pub submission_service: Arc<SubmissionService>,
    /// The state of the connection.
    pub state: Arc<ConnectionState>,
    /// What the connection is for.
    pub mode: ConnectionMode,
}

/// Makes the connection idle again when the answer is made, or its future is dropped. The answer is written afterwards.
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

/// Serves a connection until it ends or is to be closed. What has come is read first: a request that lies in the socket is
/// answered before the close.
pub async fn serve_connection(socket: TcpStream, service: ConnectionService) {
    let log = service.submission_service.log.clone();
    let state = service.state.clone();
    if let Err(error) = socket.set_nodelay(true) {
        debug!(log, "client connection already closed"; "problem" => %error);
    }
    let stream = ClientStream::new(socket, state.clone());
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout(service.mode))
        .max_buf_size(READ_BUFFER_BYTES)
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

fn head_timeout(mode: ConnectionMode) -> Duration {
    match mode {
        ConnectionMode::Serve => HEAD_TIMEOUT,
        ConnectionMode::RejectSubmissions => REJECTING_HEAD_TIMEOUT,
    }
}

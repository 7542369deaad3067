//! An HTTP/1.1 connection to an endpoint. It carries one request at a time.

use super::attempt_error::{AttemptError, AttemptStage, FailureCause};
use super::stream::{EndpointStream, StreamState};
use crate::http_connection::HttpConnection;
use crate::protocol::{self, EndpointRequest, READ_BUFFER_BYTES};
use hyper::body::Incoming;
use hyper::client::conn::http1::Builder;
use hyper::Response;
use opalpulley::EndpointId;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tower::{Service, ServiceExt};

/// A connection to an endpoint, with the state of its stream. Dropping it closes the connection.
pub struct EndpointConnection {
    http: HttpConnection,
    stream_state: Arc<StreamState>,
}

impl EndpointConnection {
    /// Opens a connection. Fails with `TimedOut` if opening takes longer than `timeout`, and with `ConnectionLost` on any
    /// other error.
    pub async fn open(
        endpoint: EndpointId,
        timeout: Duration,
    ) -> Result<EndpointConnection, AttemptError> {
        let connect = EndpointConnection::connect(endpoint);
        match tokio::time::timeout(timeout, connect).await {
            Ok(Some(connection)) => Ok(connection),
            Ok(None) => Err(AttemptError::connecting(FailureCause::ConnectionLost)),
            Err(_) => Err(AttemptError::connecting(FailureCause::TimedOut)),
        }
    }

    async fn connect(endpoint: EndpointId) -> Option<EndpointConnection> {
        let socket = TcpStream::connect(protocol::address(endpoint)).await.ok()?;
        socket.set_nodelay(true).ok()?;
        let (stream, stream_state) = EndpointStream::new(socket);
        let mut builder = Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let http = HttpConnection::handshake(stream, &builder).await.ok()?;
        Some(EndpointConnection { http, stream_state })
    }

    /// Sends a request and waits for the response head. The connection must be usable. Fails with `ConnectionLost` and the
    /// stage that the request had reached.
    pub async fn send(
        &mut self,
        request: EndpointRequest,
    ) -> Result<Response<Incoming>, AttemptError> {
        self.ready().await?.call(request).await
    }

    /// Returns the shared state of the stream under this connection.
    pub fn stream_state(&self) -> Arc<StreamState> {
        self.stream_state.clone()
    }

    /// Waits until the connection can take a request. Returns false if the connection has ended.
    pub async fn usable(&mut self) -> bool {
        self.http.ready().await
    }

    /// Returns whether the connection is known to have ended.
    pub fn is_closed(&self) -> bool {
        self.http.sender.is_closed()
    }

    /// Marks the exchange as complete. Bytes that are received from now on belong to no request.
    pub fn end_exchange(&self) {
        self.stream_state.end_exchange();
    }

    /// Waits until the connection can take another request. Returns `None` if the connection has ended.
    pub async fn into_reusable(mut self) -> Option<EndpointConnection> {
        if self.http.ready().await {
            Some(self)
        } else {
            None
        }
    }
}

impl Service<EndpointRequest> for EndpointConnection {
    type Response = Response<Incoming>;
    type Error = AttemptError;
    type Future = Pin<Box<dyn Future<Output = Result<Response<Incoming>, AttemptError>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), AttemptError>> {
        let ready = self.http.sender.poll_ready(cx);
        ready.map_err(|_| AttemptError::connecting(FailureCause::ConnectionLost))
    }

    fn call(&mut self, request: EndpointRequest) -> Self::Future {
        let stream_state = self.stream_state.clone();
        let wire_bytes = request.wire_bytes;
        let response = self.http.sender.send_request(request.http_request);
        Box::pin(async move {
            response.await.map_err(|_| AttemptError {
                stage: stage_reached(stream_state.request_bytes_written(), wire_bytes),
                cause: FailureCause::ConnectionLost,
            })
        })
    }
}

/// Returns the stage of a request of `wire_bytes` bytes whose connection ended after `bytes_written` of them.
fn stage_reached(bytes_written: u64, wire_bytes: u64) -> AttemptStage {
    if bytes_written == 0 {
        AttemptStage::Connecting
    } else if bytes_written < wire_bytes {
        AttemptStage::Writing
    } else {
        AttemptStage::Written
    }
}

//! An HTTP/1.1 connection to an endpoint. It carries one request.

use super::attempt_error::{AttemptError, AttemptStage, FailureCause};
use super::stream::{EndpointStream, StreamState};
use crate::http_connection::{HttpConnection, UsedConnection};
use crate::protocol::{self, EndpointRequest, READ_BUFFER_BYTES};
use hyper::body::Incoming;
use hyper::client::conn::http1::Builder;
use hyper::Response;
use opalpulley::EndpointId;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;

/// A connection that has carried no request, with its request and the state of its stream. Dropping it closes the
/// connection.
pub struct EndpointConnection {
    http: HttpConnection,
    request: EndpointRequest,
    stream_state: Arc<StreamState>,
}

impl EndpointConnection {
    /// Opens a connection for a request. Fails with `TimedOut` if opening takes longer than `timeout`, and with
    /// `ConnectionLost` on any other error.
    pub async fn open(
        endpoint: EndpointId,
        request: EndpointRequest,
        timeout: Duration,
    ) -> Result<EndpointConnection, AttemptError> {
        let connect = EndpointConnection::connect(endpoint, request);
        match tokio::time::timeout(timeout, connect).await {
            Ok(Some(connection)) => Ok(connection),
            Ok(None) => Err(AttemptError::connecting(FailureCause::ConnectionLost)),
            Err(_) => Err(AttemptError::connecting(FailureCause::TimedOut)),
        }
    }

    async fn connect(endpoint: EndpointId, request: EndpointRequest) -> Option<EndpointConnection> {
        let socket = TcpStream::connect(protocol::address(endpoint)).await.ok()?;
        socket.set_nodelay(true).ok()?;
        let (stream, stream_state) = EndpointStream::new(socket, request.wire_bytes);
        let mut builder = Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let http = HttpConnection::handshake(stream, &builder).await.ok()?;
        Some(EndpointConnection {
            http,
            request,
            stream_state,
        })
    }

    /// Returns the shared state of the stream under this connection.
    pub fn stream_state(&self) -> Arc<StreamState> {
        self.stream_state.clone()
    }

    /// Sends the request and waits for the response head. The response body can be read while the returned connection is
    /// kept. Fails with `ConnectionLost` and the stage that the request had reached.
    pub async fn send(self) -> Result<(Response<Incoming>, UsedConnection), AttemptError> {
        let sent = self.http.send(self.request.http_request).await;
        sent.map_err(|_| AttemptError {
            stage: stage_reached(&self.stream_state),
            cause: FailureCause::ConnectionLost,
        })
    }
}

/// Returns the stage of a request whose connection has ended.
fn stage_reached(stream: &StreamState) -> AttemptStage {
    if stream.bytes_written() == 0 {
        AttemptStage::Connecting
    } else if stream.request_fully_written() {
        AttemptStage::Written
    } else {
        AttemptStage::Writing
    }
}

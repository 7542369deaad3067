//! The HTTP client of the platform's agent on this machine. It reconnects after each failure.

use crate::body::{read_body, BodyError};
use crate::http_connection::HttpConnection;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::Builder;
use hyper::{Method, Request, StatusCode};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Upper bound on the body of a response, in bytes. It is larger than any endpoint list that fits the memory limit.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Why an exchange with the platform failed.
#[derive(Debug)]
pub enum PlatformError {
    /// The connection could not be opened, or the request could not be built.
    Connect(io::Error),
    /// The request could not be sent, or the connection ended before the head of the response.
    Send(hyper::Error),
    /// The body of the response was cut off or was longer than the limit.
    ReadBody(BodyError),
    /// The response was not complete within the timeout.
    Timeout,
    /// The response has another status than the caller expects.
    Status(StatusCode),
    /// The body of the response can't be decoded.
    Decode(serde_json::Error),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::Connect(e) => write!(f, "no connection to the platform's agent: {e}"),
            PlatformError::Send(e) => write!(f, "no response from the platform's agent: {e}"),
            PlatformError::ReadBody(e) => {
                write!(f, "the body of the response could not be read: {e}")
            }
            PlatformError::Timeout => write!(f, "no complete response within the timeout"),
            PlatformError::Status(status) => write!(f, "unexpected status {status}"),
            PlatformError::Decode(e) => {
                write!(f, "the body of the response could not be decoded: {e}")
            }
        }
    }
}

impl std::error::Error for PlatformError {}

/// Whether the latest exchange of an actor with the platform succeeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// The latest exchange succeeded, or there was none yet.
    Reachable,
    /// The latest exchange failed.
    Unreachable,
}

impl Reachability {
    /// Sets the state after an exchange. Returns whether the state has changed, which is when callers log it.
    pub fn update(&mut self, current: Reachability) -> bool {
        let previous = std::mem::replace(self, current);
        previous != current
    }
}

/// A complete response of the platform.
pub struct PlatformResponse {
    /// The status code.
    pub status: StatusCode,
    /// The whole body.
    pub body: Bytes,
}

/// A client of the platform's agent, with at most one connection. Each actor that talks to the platform owns one.
pub struct PlatformClient {
    address: SocketAddr,
    /// `None` before the first exchange, during an exchange and after a failed one.
    connection: Option<HttpConnection>,
}

impl PlatformClient {
    /// Creates a client of the agent at an address. The connection is opened by the first request.
    pub fn new(address: SocketAddr) -> PlatformClient {
        PlatformClient {
            address,
            connection: None,
        }
    }

    /// Creates a client of the agent at the same address that does not share this connection.
    pub fn clone_without_connection(&self) -> PlatformClient {
        PlatformClient::new(self.address)
    }

    /// Sets the address of the agent. The connection to the old address is closed.
    pub fn set_address(&mut self, address: SocketAddr) {
        self.address = address;
        self.connection = None;
    }

    /// Sends one request and reads the whole response. Fails if that takes longer than `timeout`. Dropping the future
    /// closes the connection, so that the rest of a response is never read as the response to a later request.
    pub async fn request(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<PlatformResponse, PlatformError> {
        let previous = self.connection.take();
        let address = self.address;
        let exchange = async {
            let mut connection = reuse_or_connect(address, previous).await?;
            let response = exchange(&mut connection, address, method, path, body).await?;
            Ok((response, connection))
        };
        let (response, connection) = tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|_| PlatformError::Timeout)??;
        self.connection = Some(connection);
        Ok(response)
    }
}

/// Returns the previous connection if it can take a request, and otherwise opens a new one.
async fn reuse_or_connect(
    address: SocketAddr,
    previous: Option<HttpConnection>,
) -> Result<HttpConnection, PlatformError> {
    if let Some(mut connection) = previous {
        if connection.ready().await {
            return Ok(connection);
        }
    }
    let stream = TcpStream::connect(address)
        .await
        .map_err(PlatformError::Connect)?;
    // Bytes that the kernel delays would be lost when the connection is closed. An error is ignored, because the
    // connection works without the option too.
    let _ = stream.set_nodelay(true);
    HttpConnection::handshake(stream, &Builder::new())
        .await
        .map_err(PlatformError::Send)
}

/// Sends one request and reads the whole response.
async fn exchange(
    connection: &mut HttpConnection,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<PlatformResponse, PlatformError> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .body(Full::new(body))
        .map_err(|e| PlatformError::Connect(io::Error::other(e)))?;
    let response = connection
        .sender
        .send_request(request)
        .await
        .map_err(PlatformError::Send)?;
    let status = response.status();
    let body = read_body(response.into_body(), MAX_RESPONSE_BYTES)
        .await
        .map_err(PlatformError::ReadBody)?;
    Ok(PlatformResponse { status, body })
}

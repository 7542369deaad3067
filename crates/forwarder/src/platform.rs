//! The HTTP client of the platform's agent on this machine. It opens a connection for each request.

use crate::body::{read_body, BodyError};
use crate::http_connection::HttpConnection;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::Builder;
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

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

/// The address of the agent that is in charge, published to the actors that send it requests.
#[derive(Clone, Copy, Debug)]
pub struct AgentAddress {
    /// The address at which the agent listens.
    pub address: SocketAddr,
    /// Time of the start or of the reload request that set the address.
    pub set_at: Instant,
}

impl AgentAddress {
    /// Returns an address that is set now.
    pub fn set_now(address: SocketAddr) -> AgentAddress {
        AgentAddress {
            address,
            set_at: Instant::now(),
        }
    }
}

/// A client of the platform's agent. Each request has a connection of its own.
#[derive(Clone, Copy)]
pub struct PlatformClient {
    address: SocketAddr,
}

impl PlatformClient {
    /// Creates a client of the agent at an address.
    pub fn new(address: SocketAddr) -> PlatformClient {
        PlatformClient { address }
    }

    /// Sets the address of the agent for later requests. Returns whether it has changed.
    pub fn set_address(&mut self, address: SocketAddr) -> bool {
        let previous = std::mem::replace(&mut self.address, address);
        previous != address
    }

    /// Sends one request and reads the whole response. Fails if that takes longer than `timeout`. Dropping the future
    /// closes the connection.
    pub async fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<PlatformResponse, PlatformError> {
        let exchange = async {
            let connection = connect(self.address).await?;
            exchange(connection, self.address, method, path, body).await
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|_| PlatformError::Timeout)?
    }
}

async fn connect(address: SocketAddr) -> Result<HttpConnection, PlatformError> {
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
    connection: HttpConnection,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<PlatformResponse, PlatformError> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .body(Full::new(body))
        .map_err(|e| PlatformError::Connect(io::Error::other(e)))?;
    let (response, _connection) = connection
        .send(request)
        .await
        .map_err(PlatformError::Send)?;
    let status = response.status();
    let body = read_body(response.into_body(), MAX_RESPONSE_BYTES)
        .await
        .map_err(PlatformError::ReadBody)?;
    Ok(PlatformResponse { status, body })
}

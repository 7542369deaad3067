//! The connection to the platform's agent on this machine. It is opened again after each failure.

use crate::http_connection::HttpConnection;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::Builder;
use hyper::{Method, Request, StatusCode};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// The longest answer that is read: more than any endpoint list that fits the memory limit.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Why an exchange with the platform failed.
#[derive(Debug)]
pub enum PlatformError {
    /// No connection came up.
    Connect(io::Error),
    /// No head of an answer came.
    Send(hyper::Error),
    /// The body of the answer broke off or was too long.
    ReadBody(Box<dyn std::error::Error + Send + Sync>),
    /// The answer was not complete in time.
    Timeout,
    /// The status of the answer says that it is not what was asked for.
    Status(StatusCode),
    /// The body of the answer can't be decoded.
    Decode(serde_json::Error),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::Connect(e) => write!(f, "no connection: {e}"),
            PlatformError::Send(e) => write!(f, "no response: {e}"),
            PlatformError::ReadBody(e) => write!(f, "the response broke off: {e}"),
            PlatformError::Timeout => write!(f, "no response in time"),
            PlatformError::Status(status) => write!(f, "answered {status}"),
            PlatformError::Decode(e) => write!(f, "the response is not understood: {e}"),
        }
    }
}

impl std::error::Error for PlatformError {}

/// Whether the latest exchange of an actor with the platform succeeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// It did, or there was none yet.
    Reachable,
    /// It failed.
    Unreachable,
}

impl Reachability {
    /// Sets the state after an exchange. Returns whether it has changed.
    pub fn update(&mut self, current: Reachability) -> bool {
        let previous = std::mem::replace(self, current);
        previous != current
    }
}

/// An answer of the platform.
pub struct PlatformResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its whole body.
    pub body: Bytes,
}

/// A connection to the platform's agent.
pub struct PlatformClient {
    address: SocketAddr,
    /// None before the first exchange and after each failure.
    connection: Option<HttpConnection>,
}

impl PlatformClient {
    /// The agent at an address. The connection is opened with the first exchange.
    pub fn new(address: SocketAddr) -> PlatformClient {
        PlatformClient {
            address,
            connection: None,
        }
    }

    /// The same agent, with a connection of its own.
    pub fn clone_without_connection(&self) -> PlatformClient {
        PlatformClient::new(self.address)
    }

    /// Goes on with the agent at another address.
    pub fn set_address(&mut self, address: SocketAddr) {
        self.address = address;
        self.connection = None;
    }

    /// Sends one request and reads its answer, which may take `within`. Dropping the future closes the connection: no half answer is read
    /// as that to a later request.
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

/// The previous connection, where it can take a request; else a new one.
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
    // Bytes that the kernel delays would be lost with a close. A connection that refuses the option works all the same.
    let _ = stream.set_nodelay(true);
    HttpConnection::handshake(stream, &Builder::new())
        .await
        .map_err(PlatformError::Send)
}

/// Sends one request and reads the whole answer.
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
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(PlatformError::ReadBody)?
        .to_bytes();
    Ok(PlatformResponse { status, body })
}

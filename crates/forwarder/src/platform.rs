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
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

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
            PlatformError::Send(e) => write!(f, "no answer: {e}"),
            PlatformError::ReadBody(e) => write!(f, "the answer broke off: {e}"),
            PlatformError::Timeout => write!(f, "no answer in time"),
            PlatformError::Status(status) => write!(f, "answered {status}"),
            PlatformError::Decode(e) => write!(f, "the answer is not understood: {e}"),
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
    pub fn set(&mut self, now: Reachability) -> bool {
        let before = std::mem::replace(self, now);
        before != now
    }
}

/// An answer of the platform.
pub struct PlatformAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its whole body.
    pub body: Bytes,
}

/// A connection to the platform's agent.
pub struct Platform {
    address: SocketAddr,
    /// None before the first exchange and after each failure.
    connection: Option<HttpConnection>,
}

impl Platform {
    /// The agent at an address. The connection is opened with the first exchange.
    pub fn new(address: SocketAddr) -> Platform {
        Platform {
            address,
            connection: None,
        }
    }

    /// The same agent, with a connection of its own.
    pub fn to_same_address(&self) -> Platform {
        Platform::new(self.address)
    }

    /// Goes on with the agent at another address.
    pub fn move_to(&mut self, address: SocketAddr) {
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
        within: Duration,
    ) -> Result<PlatformAnswer, PlatformError> {
        let previous = self.connection.take();
        let address = self.address;
        let exchange = async {
            let mut connection = connect(address, previous).await?;
            let answer = exchange(&mut connection, address, method, path, body).await?;
            Ok((answer, connection))
        };
        let (answer, connection) = tokio::time::timeout(within, exchange)
            .await
            .map_err(|_| PlatformError::Timeout)??;
        self.connection = Some(connection);
        Ok(answer)
    }
}

/// The previous connection, where it can take a request; else a new one.
async fn connect(
    address: SocketAddr,
    previous: Option<HttpConnection>,
) -> Result<HttpConnection, PlatformError> {
    if let Some(mut connection) = previous {
        if connection.usable().await {
            return Ok(connection);
        }
    }
    let stream = TcpStream::connect(address)
        .await
        .map_err(PlatformError::Connect)?;
    // Bytes that the kernel delays would be lost with a close. A connection that refuses the option works all the same.
    let _ = stream.set_nodelay(true);
    HttpConnection::over(stream, &Builder::new())
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
) -> Result<PlatformAnswer, PlatformError> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .body(Full::new(body))
        .map_err(|e| PlatformError::Connect(io::Error::other(e)))?;
    let answer = connection
        .sender
        .send_request(request)
        .await
        .map_err(PlatformError::Send)?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(PlatformError::ReadBody)?
        .to_bytes();
    Ok(PlatformAnswer { status, body })
}

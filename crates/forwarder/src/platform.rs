//! A connection to the platform's agent on this machine, opened anew after each trouble.

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

const MOST_ANSWER: usize = 16 * 1024 * 1024; // bytes of a list: over any that the memory limit allows to hold

/// How far an exchange with the platform had come when it failed.
#[derive(Debug)]
pub enum PlatformError {
    Connecting(io::Error),
    Asking(hyper::Error),
    Reading(Box<dyn std::error::Error + Send + Sync>),
    OutOfTime,
    /// It answered, with something else than was asked for.
    Refused(StatusCode),
    NotUnderstood(serde_json::Error),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::Connecting(e) => write!(f, "no connection: {e}"),
            PlatformError::Asking(e) => write!(f, "no answer: {e}"),
            PlatformError::Reading(e) => write!(f, "the answer broke off: {e}"),
            PlatformError::OutOfTime => write!(f, "no answer in time"),
            PlatformError::Refused(status) => write!(f, "answered {status}"),
            PlatformError::NotUnderstood(e) => write!(f, "the answer is not understood: {e}"),
        }
    }
}

impl std::error::Error for PlatformError {}

pub struct Platform {
    address: SocketAddr,
    link: Option<HttpConnection>,
}

impl Platform {
    pub fn new(address: SocketAddr) -> Platform {
        Platform {
            address,
            link: None,
        }
    }

    /// Another connection to the same place.
    pub fn another(&self) -> Platform {
        Platform::new(self.address)
    }

    /// From now on the platform is asked there.
    pub fn move_to(&mut self, address: SocketAddr) {
        (self.address, self.link) = (address, None);
    }

    /// Asks once. Whoever drops this before its end leaves no half answer behind.
    pub async fn ask(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        within: Duration,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let kept = self.link.take();
        let address = self.address;
        let ask = async {
            let mut usable = None;
            if let Some(mut link) = kept {
                usable = link.usable().await.then_some(link);
            }
            let mut link = match usable {
                Some(link) => link,
                None => {
                    let stream = TcpStream::connect(address)
                        .await
                        .map_err(PlatformError::Connecting)?;
                    // Nothing may be held back that a close would take along.
                    // A connection that refuses the option serves all the same.
                    let _ = stream.set_nodelay(true);
                    HttpConnection::over(stream, &Builder::new())
                        .await
                        .map_err(PlatformError::Asking)?
                }
            };
            let request = Request::builder()
                .method(method)
                .uri(path)
                .header("host", address.to_string())
                .body(Full::new(body))
                .map_err(|e| PlatformError::Connecting(io::Error::other(e)))?;
            let answer = link
                .sender
                .send_request(request)
                .await
                .map_err(PlatformError::Asking)?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MOST_ANSWER)
                .collect()
                .await
                .map_err(PlatformError::Reading)?;
            Ok((status, body.to_bytes(), link))
        };
        let (status, body, link) = tokio::time::timeout(within, ask)
            .await
            .map_err(|_| PlatformError::OutOfTime)??;
        self.link = Some(link);
        Ok((status, body))
    }
}

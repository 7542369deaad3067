//! A client's HTTP/1.1 connection, to an endpoint or to the platform's agent.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::task::JoinHandle;

/// A connection and the task that drives it. Dropping this value closes the connection, even if a request is in flight.
pub struct HttpConnection {
    /// Sends requests, one at a time.
    pub sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl HttpConnection {
    /// Starts HTTP/1.1 on a stream and spawns the driver task. Nothing is written before the first request.
    pub async fn handshake<S>(stream: S, settings: &Builder) -> hyper::Result<HttpConnection>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let (sender, connection) = settings.handshake(TokioIo::new(stream)).await?;
        // The driver's error can be dropped: the request in flight returns it.
        let driver = tokio::spawn(async move { drop(connection.await) });
        Ok(HttpConnection { sender, driver })
    }

    /// Waits until the connection can take a request. Returns false if the connection has ended.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

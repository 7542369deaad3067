//! An HTTP/1.1 connection that this program opened, to an endpoint or to the platform's agent.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::task::JoinHandle;

/// Dropping it closes the connection, whatever is under way there.
pub struct HttpConnection {
    pub sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl HttpConnection {
    pub async fn over<S>(stream: S, http: &Builder) -> hyper::Result<HttpConnection>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let (sender, connection) = http.handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(async move { drop(connection.await) });
        Ok(HttpConnection { sender, driver })
    }

    /// Whether it can take a request; one that has ended can't.
    pub async fn usable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

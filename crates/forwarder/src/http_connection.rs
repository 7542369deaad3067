//! A client's HTTP/1.1 connection, to an endpoint or to the platform's agent. A connection carries one request.
//!
//! HTTP/1.1 ties a response to its request by their order on the connection and by nothing else. If a peer, or a proxy
//! before it, writes an earlier response once more, the copy is read as the response to the next request, and each later
//! response is read one request too early. A connection without an earlier request has no earlier response that could be
//! repeated, so that its first response belongs to its request. See `docs/design/proof-of-responses.md`.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::task::JoinHandle;

/// An open connection that has carried no request. Dropping it closes the connection.
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
}

/// A connection that carries the response to its only request. Dropping it closes the connection, even if the response is
/// incomplete.
pub struct UsedConnection {
    /// The driver ends the connection when the sender is dropped, so both are kept until the response has been read.
    _sender: SendRequest<Full<Bytes>>,
    _driver: Driver,
}

/// The task that drives a connection. Dropping it aborts the task, which closes the connection.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl HttpConnection {
    /// Starts HTTP/1.1 on a stream and spawns the driver task. Nothing is written before the request.
    pub async fn handshake<S>(stream: S, settings: &Builder) -> hyper::Result<HttpConnection>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let (sender, connection) = settings.handshake(TokioIo::new(stream)).await?;
        // The driver's error can be dropped: the request in flight returns it.
        let driver = Driver(tokio::spawn(async move { drop(connection.await) }));
        Ok(HttpConnection { sender, driver })
    }

    /// Sends the request and waits for the response head. The response body can be read while the returned connection is
    /// kept. Fails if the connection ends before the response head is complete. Dropping the future closes the
    /// connection.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<(Response<Incoming>, UsedConnection)> {
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        let connection = UsedConnection {
            _sender: self.sender,
            _driver: self.driver,
        };
        Ok((response, connection))
    }
}

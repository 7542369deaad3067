//! HTTP/1.1 connections and reserved ports of the stand-ins. Messages are written by hand, since some must be malformed on
//! purpose; heads are parsed by `httparse`.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MAX_HEAD_BYTES: usize = 64 * 1024;
const MAX_HEADERS: usize = 64;
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// An HTTP/1.1 connection with the bytes that have been read but not consumed.
pub struct HttpConnection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// A request or a response. Fields that it doesn't have are empty or 0; header names are in lower case.
#[derive(Debug, Default)]
pub struct HttpMessage {
    pub method: String,
    pub path: String,
    pub status: u16,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// Returns the value of a header; `name` must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }
}

impl HttpConnection {
    /// Wraps a stream from which nothing has been read.
    pub fn new(stream: TcpStream) -> HttpConnection {
        let _ = stream.set_nodelay(true); // a failure only delays small writes
        HttpConnection {
            stream,
            buffer: Vec::with_capacity(2048),
        }
    }

    /// Reads the next request; none if the peer closes the connection before it. Fails if the request is malformed, too long or
    /// incomplete.
    pub async fn read_request(&mut self) -> io::Result<Option<HttpMessage>> {
        self.read_message(true).await
    }

    /// Reads the next response. Fails if the peer closes the connection, or if the response is malformed or too long.
    pub async fn read_response(&mut self) -> io::Result<HttpMessage> {
        self.read_message(false)
            .await?
            .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    async fn read_message(&mut self, is_request: bool) -> io::Result<Option<HttpMessage>> {
        loop {
            if let Some((message, head_length, body_length)) = self.parse_head(is_request)? {
                if body_length > MAX_BODY_BYTES {
                    return Err(io::Error::new(
                        io::ErrorKind::InvalidData,
                        "the HTTP body exceeds 4 MiB",
                    ));
                }
                while self.buffer.len() < head_length + body_length {
                    if self.stream.read_buf(&mut self.buffer).await? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                let body = self.buffer[head_length..head_length + body_length].to_vec();
                self.buffer.drain(..head_length + body_length);
                return Ok(Some(HttpMessage { body, ..message }));
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "the HTTP head exceeds 64 KiB",
                ));
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    /// Parses a head and returns it with its length and the content length, in bytes; none if the head is incomplete.
    fn parse_head(&self, is_request: bool) -> io::Result<Option<(HttpMessage, usize, usize)>> {
        let invalid_data =
            |error: httparse::Error| io::Error::new(io::ErrorKind::InvalidData, error.to_string());
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut message = HttpMessage::default();
        let (status, headers) = if is_request {
            let mut parsed = httparse::Request::new(&mut headers);
            let status = parsed.parse(&self.buffer).map_err(invalid_data)?;
            message.method = parsed.method.unwrap_or("").into();
            message.path = parsed.path.unwrap_or("").into();
            (status, parsed.headers)
        } else {
            let mut parsed = httparse::Response::new(&mut headers);
            let status = parsed.parse(&self.buffer).map_err(invalid_data)?;
            message.status = parsed.code.unwrap_or(0);
            (status, parsed.headers)
        };
        let httparse::Status::Complete(head_length) = status else {
            return Ok(None);
        };
        for header in headers.iter() {
            message.headers.push((
                header.name.to_ascii_lowercase(),
                String::from_utf8_lossy(header.value).into_owned(),
            ));
        }
        let content_length = message.header("content-length").map_or(Ok(0), str::parse);
        let body_length = content_length.map_err(|_| {
            io::Error::new(
                io::ErrorKind::InvalidData,
                "the content length is not a number",
            )
        })?;
        Ok(Some((message, head_length, body_length)))
    }

    /// Writes bytes unchanged.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Writes a response. `extra_headers` holds further header lines, each with its line break.
    pub async fn respond(
        &mut self,
        status: &str,
        extra_headers: &str,
        body: &str,
    ) -> io::Result<()> {
        let text = format!(
            "HTTP/1.1 {status}\r\n{extra_headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.write(text.as_bytes()).await
    }

    /// Waits until the peer closes the connection or the buffer exceeds the limit of a head. Bytes that arrive in the meantime
    /// stay in the buffer.
    pub async fn wait_for_close(&mut self) {
        loop {
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) if self.buffer.len() > MAX_HEAD_BYTES => return,
                Ok(_) => {}
            }
        }
    }

    /// Closes the connection with a TCP reset.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }
}

/// A loopback port that stays reserved while no listener uses it, so that no other run on this machine gets the port or the
/// traffic to it.
pub struct ReservedPort {
    pub address: SocketAddr,
    _reservation: socket2::Socket,
}

impl ReservedPort {
    /// Reserves a port; 0 selects a free one. Fails if a listener uses the port, or if no port is free.
    ///
    /// The reservation does not listen, not even for a moment: a process that is being started elsewhere holds a copy of it
    /// until its program is loaded, and a copy that listened would keep others from listening on the port.
    pub fn reserve(port: u16) -> io::Result<ReservedPort> {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        if port == 0 {
            // Without `SO_REUSEADDR` no port is selected that another run has reserved. The option is set afterwards, so
            // that a listener can bind to the port as well.
            bind_loopback(&socket, port)?;
            socket.set_reuse_address(true)?;
        } else {
            socket.set_reuse_address(true)?;
            bind_loopback(&socket, port)?;
        }
        let address = socket.local_addr()?.as_socket();
        Ok(ReservedPort {
            address: address.ok_or(io::ErrorKind::AddrNotAvailable)?,
            _reservation: socket,
        })
    }

    /// Starts to listen on the reserved port. Fails if another listener uses it.
    pub fn listen(&self) -> io::Result<tokio::net::TcpListener> {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        socket.listen(1024)
    }
}

fn bind_loopback(socket: &socket2::Socket, port: u16) -> io::Result<()> {
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, port)).into())
}

#[cfg(test)]
mod tests;

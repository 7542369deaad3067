//! HTTP/1.1 as the stand-ins read and write it: by hand where it must be spoilt on purpose, its heads read by `httparse`.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Mutex, PoisonError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MAX_HEAD_BYTES: usize = 64 * 1024;
const MAX_HEADERS: usize = 64;
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
const MAX_PORT_ATTEMPTS: u32 = 100; // for a free port

/// A connection with what was read ahead of it.
pub struct HttpConnection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// A request or an answer: its first line in parts, its headers by name in small letters, its body.
#[derive(Debug, Default)]
pub struct HttpMessage {
    pub method: String,
    pub path: String,
    pub status: u16,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// The value of a header, by its name in small letters.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }
}

impl HttpConnection {
    /// A connection that nothing was read from.
    pub fn new(stream: TcpStream) -> HttpConnection {
        let _ = stream.set_nodelay(true); // without it an answer may be late, no more
        HttpConnection {
            stream,
            buffer: Vec::with_capacity(2048),
        }
    }

    /// The next request; nothing at the end of the connection.
    pub async fn read_request(&mut self) -> io::Result<Option<HttpMessage>> {
        self.read_message(true).await
    }

    /// The next answer.
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
                        "the body is too long",
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
                    "the head is too long",
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

    /// A head that is whole, its length, and that of the body behind it.
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
        let body_length = content_length
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "the length is no number"))?;
        Ok(Some((message, head_length, body_length)))
    }

    /// Writes bytes as they are.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Answers a request; `more` holds further lines of the head.
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

    /// Waits until the other side has closed. What it sends meanwhile stays in the buffer.
    pub async fn wait_for_close(&mut self) {
        loop {
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) if self.buffer.len() > MAX_HEAD_BYTES => return,
                Ok(_) => {}
            }
        }
    }

    /// Closes with a reset.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }
}

static PORT_CHOICE: Mutex<()> = Mutex::new(()); // held by whoever chooses a port, until it is kept

/// A port of loopback that is kept while nobody listens there: another world on this machine must not get it meanwhile,
/// nor what is sent to it.
pub struct ReservedPort {
    pub address: SocketAddr,
    _reservation: socket2::Socket,
}

impl ReservedPort {
    /// A free one; `port` where it is named.
    pub fn reserve(port: u16) -> io::Result<ReservedPort> {
        // Guards against two worlds of one process that choose the same port before either keeps it: both could share it.
        let _guard = PORT_CHOICE.lock().unwrap_or_else(PoisonError::into_inner);
        let mut attempts = 0;
        loop {
            // Between choosing and keeping, somebody else may have got it: then another will do.
            let reserved = ReservedPort::choose_address(port)
                .and_then(ReservedPort::bind_reservation)
                .and_then(|port| port.listen().map(|_| port));
            attempts += 1;
            match reserved {
                Err(error)
                    if error.kind() == io::ErrorKind::AddrInUse
                        && port == 0
                        && attempts < MAX_PORT_ATTEMPTS => {}
                reserved => return reserved,
            }
        }
    }

    /// Chosen without the right to share, for what others keep must not be chosen.
    fn choose_address(port: u16) -> io::Result<SocketAddr> {
        let socket = tokio::net::TcpSocket::new_v4()?;
        if port == 0 {
            socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
            return socket.local_addr();
        }
        Ok(SocketAddr::from((Ipv4Addr::LOCALHOST, port)))
    }

    /// Kept with the right to share, so that a listener can stand beside it.
    fn bind_reservation(address: SocketAddr) -> io::Result<ReservedPort> {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        Ok(ReservedPort {
            address,
            _reservation: socket,
        })
    }

    /// Listens at the port.
    pub fn listen(&self) -> io::Result<tokio::net::TcpListener> {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        socket.listen(1024)
    }
}

//! HTTP/1.1 as the stand-ins read and write it: by hand where it must be spoilt on purpose, its heads read by `httparse`.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Mutex, PoisonError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MOST_HEAD: usize = 64 * 1024;
const MOST_HEADERS: usize = 64;
const MOST_BODY: usize = 4 * 1024 * 1024;
const MAX_TRIES: u32 = 100; // for a free port

/// A connection with what was read ahead of it.
pub struct Conn {
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
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }
}

impl Conn {
    /// A connection that nothing was read from.
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true); // without it an answer may be late, no more
        Conn {
            stream,
            buffer: Vec::with_capacity(2048),
        }
    }

    /// The next request; nothing at the end of the connection.
    pub async fn request(&mut self) -> io::Result<Option<HttpMessage>> {
        self.message(true).await
    }

    /// The next answer.
    pub async fn answer(&mut self) -> io::Result<HttpMessage> {
        self.message(false)
            .await?
            .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    async fn message(&mut self, request: bool) -> io::Result<Option<HttpMessage>> {
        loop {
            if let Some((message, head, length)) = self.head(request)? {
                if length > MOST_BODY {
                    return Err(io::Error::new(
                        io::ErrorKind::InvalidData,
                        "the body is too long",
                    ));
                }
                while self.buffer.len() < head + length {
                    if self.stream.read_buf(&mut self.buffer).await? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                let body = self.buffer[head..head + length].to_vec();
                self.buffer.drain(..head + length);
                return Ok(Some(HttpMessage { body, ..message }));
            }
            if self.buffer.len() > MOST_HEAD {
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
    fn head(&self, request: bool) -> io::Result<Option<(HttpMessage, usize, usize)>> {
        let bad = |e: httparse::Error| io::Error::new(io::ErrorKind::InvalidData, e.to_string());
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut message = HttpMessage::default();
        let (status, headers) = if request {
            let mut parsed = httparse::Request::new(&mut headers);
            let status = parsed.parse(&self.buffer).map_err(bad)?;
            message.method = parsed.method.unwrap_or("").into();
            message.path = parsed.path.unwrap_or("").into();
            (status, parsed.headers)
        } else {
            let mut parsed = httparse::Response::new(&mut headers);
            let status = parsed.parse(&self.buffer).map_err(bad)?;
            message.status = parsed.code.unwrap_or(0);
            (status, parsed.headers)
        };
        let httparse::Status::Complete(head) = status else {
            return Ok(None);
        };
        for h in headers.iter() {
            message.headers.push((
                h.name.to_ascii_lowercase(),
                String::from_utf8_lossy(h.value).into_owned(),
            ));
        }
        let length = message.header("content-length").map_or(Ok(0), str::parse);
        let length = length
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "the length is no number"))?;
        Ok(Some((message, head, length)))
    }

    /// Writes bytes as they are.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Answers a request; `more` holds further lines of the head.
    pub async fn reply(&mut self, status: &str, more: &str, body: &str) -> io::Result<()> {
        let text = format!(
            "HTTP/1.1 {status}\r\n{more}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.write(text.as_bytes()).await
    }

    /// Waits until the other side has closed. What it sends meanwhile stays in the buffer.
    pub async fn closed(&mut self) {
        loop {
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) if self.buffer.len() > MOST_HEAD => return,
                Ok(_) => {}
            }
        }
    }

    /// Closes with a reset.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }
}

static CHOOSING: Mutex<()> = Mutex::new(()); // held by whoever chooses a port, until it is kept

/// A port of loopback that is kept while nobody listens there: another world on this machine must not get it meanwhile,
/// nor what is sent to it.
pub struct Port {
    pub address: SocketAddr,
    _held: socket2::Socket,
}

impl Port {
    /// A free one; `port` where it is named.
    pub fn hold(port: u16) -> io::Result<Port> {
        // Guards against two worlds of one process that choose the same port before either keeps it: both could share it.
        let _one = CHOOSING.lock().unwrap_or_else(PoisonError::into_inner);
        let mut tries = 0;
        loop {
            // Between choosing and keeping, somebody else may have got it: then another will do.
            let held = Port::choose(port)
                .and_then(Port::keep)
                .and_then(|p| p.listen().map(|_| p));
            tries += 1;
            match held {
                Err(e)
                    if e.kind() == io::ErrorKind::AddrInUse && port == 0 && tries < MAX_TRIES => {}
                held => return held,
            }
        }
    }

    /// Chosen without the right to share, for what others keep must not be chosen.
    fn choose(port: u16) -> io::Result<SocketAddr> {
        let socket = tokio::net::TcpSocket::new_v4()?;
        if port == 0 {
            socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
            return socket.local_addr();
        }
        Ok(SocketAddr::from((Ipv4Addr::LOCALHOST, port)))
    }

    /// Kept with the right to share, so that a listener can stand beside it.
    fn keep(address: SocketAddr) -> io::Result<Port> {
        let held = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        held.set_reuse_address(true)?;
        held.bind(&address.into())?;
        Ok(Port {
            address,
            _held: held,
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

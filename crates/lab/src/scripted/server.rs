//! Servers that log their requests and respond as a closure determines.

use super::http::{read_http_message, HttpMessage};
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Received requests, oldest first.
pub type RequestLog = Arc<Mutex<Vec<HttpMessage>>>;

/// Starts a server on a free loopback port that logs its requests. `respond` gets a request and its index in the log, and
/// returns the response; if it returns none, the request stays unanswered until the client closes the connection.
pub fn serve(
    respond: impl Fn(&HttpMessage, usize) -> Option<String> + Send + Sync + 'static,
) -> (SocketAddr, RequestLog) {
    serve_on(
        TcpListener::bind("127.0.0.1:0").expect("a loopback port should be free"),
        respond,
    )
}

/// Starts a server on a free loopback port that passes each connection to `handle`, on a thread of its own. The connection is
/// closed when `handle` returns.
pub fn serve_connections(handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port should be free");
    let address = listener
        .local_addr()
        .expect("the listener should have an address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.expect("the connection should be accepted");
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
    address
}

fn serve_on(
    listener: TcpListener,
    respond: impl Fn(&HttpMessage, usize) -> Option<String> + Send + Sync + 'static,
) -> (SocketAddr, RequestLog) {
    let address = listener
        .local_addr()
        .expect("the listener should have an address");
    let (log, respond) = (RequestLog::default(), Arc::new(respond));
    let request_log = log.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, request_log, respond) = (
                stream.expect("the connection should be accepted"),
                request_log.clone(),
                respond.clone(),
            );
            thread::spawn(move || {
                while let Some(request) = read_http_message(&mut stream) {
                    let request_index = {
                        let mut request_log = request_log
                            .lock()
                            .expect("the request log should not be poisoned");
                        request_log.push(request.clone());
                        request_log.len() - 1
                    };
                    match respond(&request, request_index) {
                        Some(text) => stream
                            .write_all(text.as_bytes())
                            .expect("the response should be written"),
                        None => _ = stream.read(&mut [0]), // until the client closes the connection
                    }
                }
            });
        }
    });
    (address, log)
}

/// A listener whose backlog is full, so that no connection is established until [`FullBacklogListener::accept_and_serve`]. The
/// kernel of the client retries connections that were attempted before, about 1 s after the attempt.
pub struct FullBacklogListener {
    listener: TcpListener,
    filling_connections: Vec<TcpStream>,
    pub address: SocketAddr,
}

impl FullBacklogListener {
    /// Binds to a free port of a local address and fills the backlog.
    pub fn bind(host: &str) -> FullBacklogListener {
        let listener = TcpListener::bind((host, 0)).expect("a port of the host should be free");
        SockRef::from(&listener)
            .listen(0)
            .expect("the backlog should be shortened");
        let address = listener
            .local_addr()
            .expect("the listener should have an address");
        let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(50)).ok();
        let filling_connections = std::iter::from_fn(connect).collect();
        FullBacklogListener {
            listener,
            filling_connections,
            address,
        }
    }

    /// Accepts the connections that fill the backlog, then serves as [`serve`] does.
    pub fn accept_and_serve(
        self,
        respond: impl Fn(&HttpMessage, usize) -> Option<String> + Send + Sync + 'static,
    ) -> (SocketAddr, RequestLog) {
        SockRef::from(&self.listener)
            .listen(16)
            .expect("the backlog should be extended");
        for _ in &self.filling_connections {
            self.listener
                .accept()
                .expect("a connection of the backlog should be accepted");
        }
        serve_on(self.listener, respond)
    }
}

/// Returns the number of logged calls with a message's id.
pub fn count_calls(log: &RequestLog, id: &str) -> usize {
    let log = log.lock().expect("the request log should not be poisoned");
    log.iter()
        .filter(|request| {
            request
                .headers
                .get("request-id")
                .is_some_and(|value| value == id)
        })
        .count()
}

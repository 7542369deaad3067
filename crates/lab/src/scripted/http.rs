//! HTTP messages as a scripted peer reads them, and the responses that it writes.

use std::collections::BTreeMap;
use std::io::Read;
use std::net::TcpStream;

/// A request or a response as it was received. Header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    pub first_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads a request or a response; none if the connection ends or fails before it is complete. Panics if the head is malformed.
pub fn read_http_message(stream: &mut TcpStream) -> Option<HttpMessage> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    let text = String::from_utf8(head).expect("the HTTP head should be UTF-8");
    let mut lines = text.lines();
    let first_line = lines.next()?.to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
        .collect();
    let length = headers.get("content-length").map_or(0, |length| {
        length
            .parse()
            .expect("the content length should be a number")
    });
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(HttpMessage {
        first_line,
        headers,
        body,
    })
}

/// Reads the next response and returns its status; 0 if there is none.
pub fn read_status(stream: &mut TcpStream) -> u16 {
    read_http_message(stream)
        .and_then(|message| message.first_line.split(' ').nth(1)?.parse().ok())
        .unwrap_or(0)
}

/// Returns a response without a body; `status` holds the code and the reason phrase.
pub fn empty_response(status: &str) -> Option<String> {
    Some(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n"))
}

/// Returns a 200 response with a body.
pub fn ok_response(body: &str) -> Option<String> {
    Some(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

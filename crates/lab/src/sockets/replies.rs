//! Writes the responses of a stand-in endpoint, including faulty ones.

use super::wire::HttpConnection;
use super::RunContext;
use crate::receivers::{CallResult, ReceiverReply};
use opalpulley::Micros;
use std::io;
use std::time::Duration;

const TOO_MANY_REQUESTS: &str = "429 Too Many Requests";
/// Response that is not valid HTTP.
const GARBLED: &[u8] = b"\x16\x03\x01 not what was asked for \xff\xfe\r\n\r\n";
/// Head of a response whose body never ends.
const ENDLESS_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n";
/// Head of an error whose body never ends.
const ENDLESS_ERROR_HEAD: &[u8] = b"HTTP/1.1 500 Error\r\nContent-Length: 3000000000\r\n\r\n";
/// Delay between a part of a faulty response and the next part, or the reset of the connection.
const WRITE_INTERVAL: Duration = Duration::from_millis(2);

/// Writes the response that a call's result sets. Returns the connection if it can be reused. Without the oracle, waits until
/// the response is due; otherwise the caller must have waited.
pub(super) async fn write_response(
    context: &RunContext,
    mut conn: HttpConnection,
    result: CallResult,
) -> Option<HttpConnection> {
    if context.without_oracle && result.reply != ReceiverReply::Silent {
        tokio::time::sleep_until(context.instant_at(result.reply_at)).await;
    }
    let write_result = match result.reply {
        ReceiverReply::Served => conn.respond("200 OK", "", "").await,
        ReceiverReply::InternalError => conn.respond("500 Internal Server Error", "", "").await,
        ReceiverReply::Overloaded => conn.respond("503 Service Unavailable", "", "").await,
        ReceiverReply::TooManyRequests { retry_after } => {
            let header = retry_after_header(retry_after);
            conn.respond(TOO_MANY_REQUESTS, &header, "").await
        }
        faulty => {
            write_faulty_response(conn, faulty).await;
            return None;
        }
    };
    write_result.ok().map(|()| conn)
}

/// Writes a response after which the connection can't be reused. Write errors are ignored, since the forwarder may have closed
/// the connection.
async fn write_faulty_response(mut conn: HttpConnection, reply: ReceiverReply) {
    let _ = match reply {
        ReceiverReply::ServedThenReset => conn.respond("200 OK", "", "").await,
        ReceiverReply::TooManyRequestsTruncated { retry_after } => {
            conn.write(truncated_too_many_requests(retry_after).as_bytes())
                .await
        }
        ReceiverReply::Garbled => conn.write(GARBLED).await,
        ReceiverReply::Endless => write_endless(&mut conn, ENDLESS_HEAD).await,
        ReceiverReply::EndlessError => write_endless(&mut conn, ENDLESS_ERROR_HEAD).await,
        _ => Ok(()),
    };
    match reply {
        ReceiverReply::Silent | ReceiverReply::Garbled => conn.wait_for_close().await,
        ReceiverReply::ServedThenReset | ReceiverReply::TooManyRequestsTruncated { .. } => {
            tokio::time::sleep(WRITE_INTERVAL).await;
            conn.reset();
        }
        ReceiverReply::Endless | ReceiverReply::EndlessError => {}
        _ => conn.reset(),
    }
}

/// Writes a response whose body never ends, until the forwarder closes the connection.
async fn write_endless(conn: &mut HttpConnection, head: &[u8]) -> io::Result<()> {
    conn.write(head).await?;
    loop {
        tokio::time::sleep(WRITE_INTERVAL).await;
        conn.write(&[b'x'; 512]).await?;
    }
}

/// Returns the head of a 429 response and a body that is shorter than its content length.
fn truncated_too_many_requests(retry_after: Option<Micros>) -> String {
    let header = retry_after_header(retry_after);
    format!("HTTP/1.1 {TOO_MANY_REQUESTS}\r\n{header}Content-Length: 5\r\n\r\nno")
}

/// Returns the header line of a retry-after time in the platform's protocol, rounded up to ms; empty if there is none.
fn retry_after_header(retry_after: Option<Micros>) -> String {
    retry_after.map_or(String::new(), |time| {
        format!("Wait-Ms: {}\r\n", time.div_ceil(1000))
    })
}

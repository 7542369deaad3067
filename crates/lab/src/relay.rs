//! A minimal relay over hyper, as a baseline for the maximum throughput of a forwarder. It accepts a message, answers 202
//! and calls the endpoint once, without a journal, rules or retries. It reads the same start-up configuration as a
//! forwarder, so the laboratory can run a scenario against it: `opalpulley-lab run ... --sockets --forwarder
//! target/release/opalpulley-relay`.

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::error::Error;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::net::{TcpListener, TcpStream};

/// The sending half of a connection.
type RequestSender = SendRequest<Full<Bytes>>;
type RelayError = Box<dyn Error + Send + Sync>;

/// The state shared by all requests: the address of an endpoint per destination, and the idle connections per address.
struct Relay {
    endpoints: BTreeMap<String, String>,
    idle_connections: Mutex<BTreeMap<String, Vec<RequestSender>>>,
}

async fn connect(address: &str) -> Result<RequestSender, RelayError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}

impl Relay {
    /// Sends a request to an endpoint of the destination and waits for the complete response. The connection is kept for
    /// reuse only if the request succeeds.
    async fn forward(
        &self,
        request: Request<Full<Bytes>>,
        destination: &str,
    ) -> Result<(), RelayError> {
        let address = self
            .endpoints
            .get(destination)
            .ok_or("destination is not in the endpoint list")?;
        let idle_connections = || {
            self.idle_connections
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
        };
        let reusable = idle_connections()
            .get_mut(address)
            .and_then(Vec::pop)
            .filter(|sender| !sender.is_closed());
        let mut sender = match reusable {
            Some(sender) => sender,
            None => connect(address).await?,
        };
        sender.ready().await?;
        sender
            .send_request(request)
            .await?
            .into_body()
            .collect()
            .await?;
        idle_connections()
            .entry(address.clone())
            .or_default()
            .push(sender);
        Ok(())
    }
}

/// Answers a submission with 202 and calls the endpoint in the background. Health checks on `/up`, and requests whose body
/// can't be read, are answered with 200.
async fn handle_submission(
    relay: Arc<Relay>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut response = Response::new(Full::default());
    if request.uri().path() == "/up" {
        return Ok(response);
    }
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return Ok(response);
    };
    let mut call = Request::builder()
        .method("POST")
        .uri("/inbox")
        .header("host", "target");
    for name in ["request-id", "idempotency-key", "request-timeout-ms"] {
        if let Some(value) = head.headers.get(name) {
            call = call.header(name, value);
        }
    }
    let envelope = head
        .headers
        .get("envelope")
        .and_then(|v| v.to_str().ok())
        .unwrap_or("");
    let destination = envelope.trim_start_matches("dest=").to_owned();
    if let Ok(call) = call.body(Full::new(body.to_bytes())) {
        // The relay doesn't report the outcome of the call, because the baseline does the least possible work.
        tokio::spawn(async move { drop(relay.forward(call, &destination).await) });
    }
    *response.status_mut() = StatusCode::ACCEPTED;
    Ok(response)
}

async fn run() -> Result<(), RelayError> {
    let startup_config: serde_json::Value =
        serde_json::from_slice(&std::fs::read(std::env::var("GW_CONFIG")?)?)?;
    let address = |key: &str| {
        startup_config[key]
            .as_str()
            .map(str::to_owned)
            .ok_or(format!("GW_CONFIG: `{key}` must be set to an address"))
    };
    let mut discovery = connect(&address("discovery")?).await?;
    let poll = Request::get("/discovery/hosts")
        .header("host", "agent")
        .body(Full::default())?;
    let list = discovery
        .send_request(poll)
        .await?
        .into_body()
        .collect()
        .await?
        .to_bytes();
    let list: serde_json::Value = serde_json::from_slice(&list)?;
    let members = list["members"].as_array().cloned().unwrap_or_default();
    let destination_and_address = |member: &serde_json::Value| {
        Some((
            member["cell"].to_string(),
            member["host_port"].as_str()?.to_owned(),
        ))
    };
    let relay = Arc::new(Relay {
        endpoints: members.iter().filter_map(destination_and_address).collect(),
        idle_connections: Mutex::default(),
    });
    let listener = TcpListener::bind(address("listen")?).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let relay = relay.clone();
        let service = service_fn(move |request| handle_submission(relay.clone(), request));
        tokio::spawn(
            hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service),
        );
    }
}

fn main() -> Result<(), RelayError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(run())
}

//! Scripted peers for tests that need an exact response at an exact moment: blocking servers that log requests and respond as a
//! closure determines, a platform, and the forwarder's process between them. They panic on unexpected errors, which fails the
//! test that uses them. The peers in `sockets` respond according to the receiver model instead.

use socket2::SockRef;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Upper bound on the wait for a condition or a response that a test requires.
const MAX_WAIT: Duration = Duration::from_secs(10);

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

/// Returns a member of the endpoint list in the format of discovery. Its id is derived from its port.
pub fn member(endpoint: SocketAddr, destination: u32, phase: &str) -> String {
    member_named(
        &format!("s-{}", endpoint.port()),
        endpoint,
        destination,
        phase,
    )
}

/// Returns a member of the endpoint list with the given id.
pub fn member_named(id: &str, endpoint: SocketAddr, destination: u32, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{endpoint}","locality":"a","flavor":"m","cell":{destination},"phase":"{phase}","size":50.0,"up_since_ms":0}}"#
    )
}

/// Returns a response body of discovery: the complete list, or changes of it.
pub fn endpoint_list(revision: u64, complete: bool, members: &[String]) -> String {
    format!(
        r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#,
        members.join(",")
    )
}

/// A platform that serves an endpoint list and records the completion reports.
pub struct Platform {
    pub address: SocketAddr,
    /// Requests with completion reports, including the refused ones.
    pub completion_reports: RequestLog,
    /// Response bodies for the next watches. The last one is sent first.
    pub pending_changes: Arc<Mutex<Vec<String>>>,
}

/// Starts a platform with a list of `members`. The first `refused_reports` requests with completion reports get a 500 response.
pub fn start_platform(members: Vec<String>, refused_reports: usize) -> Platform {
    let pending_changes: Arc<Mutex<Vec<String>>> = Arc::default();
    let completion_reports = RequestLog::default();
    let (changes, reports) = (pending_changes.clone(), completion_reports.clone());
    let (address, _) = serve(move |request, _| {
        if request.first_line.starts_with("POST /v1/outcomes") {
            let mut reports = reports
                .lock()
                .expect("the completion reports should not be poisoned");
            reports.push(request.clone());
            return empty_response(if reports.len() > refused_reports {
                "204 No Content"
            } else {
                "500 Oops"
            });
        }
        if !request.first_line.contains("index=") {
            return ok_response(&endpoint_list(1, true, &members));
        }
        let started = Instant::now();
        while started.elapsed() < Duration::from_millis(300) {
            if let Some(change) = changes
                .lock()
                .expect("the pending changes should not be poisoned")
                .pop()
            {
                return ok_response(&change);
            }
            thread::sleep(Duration::from_millis(5));
        }
        ok_response(&endpoint_list(1, false, &[]))
    });
    Platform {
        address,
        completion_reports,
        pending_changes,
    }
}

/// A forwarder process, which is killed on drop.
pub struct Forwarder {
    pub child: Child,
    pub listen: SocketAddr,
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a start-up configuration with one delivery class. `effect` is the value of its delivery semantics in the settings.
pub fn startup_config(profile: &str, effect: &str, sockets: usize, disk_mb: f64) -> String {
    format!(
        r#"{{"name":"n0","seed":"8c1f30d27a5be964","limits":{{"memory_mb":192,"sockets":{sockets},"disk_mb":{disk_mb}}},
        "settings":{{"Azs":["a"],"Balancers":1,"Me":0,"HostTypes":["m"],"QuantumUs":5000,"Weights":"nominal",
        "Domain":{{"Fades":"halving","Workers":8,"PerCall":[1],"RoutesApart":[false]}},
        "Limits":{{"Cancelling":true,"ConnIdleUs":5000000,"ConnectTimeoutUs":1000000,"MaxAttempts":6,"MaxOpen":400,
            "MaxRetryAfterUs":2000000,"Probing":true,"RetryAfter":true}},
        "Profiles":[{{"Name":"{profile}","Effect":"{effect}","DedupWindowUs":15000000,"GoalTimeUs":2500000,
            "HardLimitUs":28000000,"LateShare":0.5,"Points":1.0}}],
        "Rules":{{"AnswerSlackUs":20000,"ColdFrom":0.2,"DrainGraceUs":500000,"FallMultiple":2.0,
            "OverloadForUs":2000000,"WarmAfterUs":10000000}}}}}}"#
    )
}

/// Returns a start-up configuration with further top-level keys; `pairs` holds them as JSON without the outer braces.
pub fn with_further_keys(config: &str, pairs: &str) -> String {
    config.replacen("\"settings\"", &format!("{pairs},\"settings\""), 1)
}

/// Returns the command that starts a forwarder, and writes its configuration beside the folder `state`. The log is discarded
/// unless the environment variable `SHOW` is set.
pub fn command(
    program: &str,
    state: &Path,
    config: &str,
    listen: &str,
    discovery: SocketAddr,
) -> Command {
    let config_file = state
        .parent()
        .expect("the state folder should have a parent")
        .join("config.json");
    std::fs::write(&config_file, config).expect("the configuration should be written");
    let mut command = Command::new(program);
    command
        .env("GW_CONFIG", config_file)
        .env("GW_STATE", state)
        .env("GW_LISTEN", listen)
        .env("GW_DISCOVERY", discovery.to_string())
        .stderr(if std::env::var("SHOW").is_ok() {
            Stdio::inherit()
        } else {
            Stdio::null()
        });
    command
}

/// Creates an empty state folder. It is deleted when the returned temporary folder is dropped.
pub fn state_folder() -> (TempDir, std::path::PathBuf) {
    let folder = TempDir::new().expect("a temporary folder should be created");
    let state = folder.path().join("state");
    std::fs::create_dir(&state).expect("the state folder should be created");
    (folder, state)
}

/// Returns an address without a listener, on a loopback host that no other test uses. No other test can therefore take the
/// port before the forwarder does.
fn unused_address() -> SocketAddr {
    static HOSTS: AtomicU32 = AtomicU32::new(0);
    let host_number = HOSTS.fetch_add(1, Ordering::Relaxed);
    let [_, process_high, process_low, _] = (std::process::id() << 8).to_be_bytes();
    let [.., host_number_low] = host_number.to_be_bytes();
    // The host is outside 127.0.0.0/16, where scripted peers listen, and isn't the last address of 127.0.0.0/8.
    let second_octet = 1 + process_high % 128;
    let host = Ipv4Addr::new(127, second_octet, process_low, host_number_low);
    let listener = TcpListener::bind((host, 0)).expect("a port of the host should be free");
    listener
        .local_addr()
        .expect("the listener should have an address")
}

/// Starts a forwarder and waits until it is up. Panics if it isn't up within 10 s.
pub fn start(program: &str, state: &Path, config: &str, discovery: SocketAddr) -> Forwarder {
    let listen = unused_address();
    let child = command(program, state, config, &listen.to_string(), discovery)
        .spawn()
        .expect("the forwarder should start");
    let forwarder = Forwarder { child, listen };
    wait_until("the forwarder is up", || {
        forwarder.request_status("GET /up HTTP/1.1\r\nHost: x\r\n\r\n", b"") == 200
    });
    forwarder
}

/// Waits until a condition is met. Panics with its description if it isn't met within 10 s.
pub fn wait_until(condition: &str, mut is_met: impl FnMut() -> bool) {
    let started = Instant::now();
    while !is_met() {
        assert!(
            started.elapsed() < MAX_WAIT,
            "timed out waiting until {condition}"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

/// Returns the head of a request that submits a message for destination 7. `path` is the delivery class, `length` the size of
/// the body in bytes.
pub fn submission_head(id: &str, path: &str, length: usize) -> String {
    format!(
        "POST /{path} HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Class: {path}\r\n\
         Request-Timeout-Ms: 20000\r\nIdempotency-Key: k-{id}\r\nEnvelope: dest=7\r\nContent-Length: {length}\r\n\r\n"
    )
}

impl Forwarder {
    /// Opens a connection to the forwarder, with a read timeout of 10 s.
    pub fn connect(&self) -> std::io::Result<TcpStream> {
        let stream = TcpStream::connect(self.listen)?;
        stream.set_read_timeout(Some(MAX_WAIT))?;
        Ok(stream)
    }

    /// Sends a request on a new connection and returns the status of the answer; 0 if there is none.
    pub fn request_status(&self, head: &str, body: &[u8]) -> u16 {
        let Ok(mut stream) = self.connect() else {
            return 0;
        };
        // The forwarder may respond and close the connection before it has read the whole request.
        let _ = stream.write_all(&[head.as_bytes(), body].concat());
        read_status(&mut stream)
    }

    /// Submits a message with a body of 4 bytes and returns the status of the answer.
    pub fn submit(&self, id: &str, path: &str) -> u16 {
        self.request_status(&submission_head(id, path, 4), b"body")
    }

    /// Returns the resident memory of the process, in kB, and the number of its open file descriptors.
    pub fn resource_usage(&self) -> (u64, usize) {
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .expect("the file descriptors should be readable")
            .count();
        (self.memory_kb("VmRSS:"), descriptors)
    }

    /// Returns the largest resident memory of the process so far, in kB.
    pub fn peak_memory_kb(&self) -> u64 {
        self.memory_kb("VmHWM:")
    }

    /// Returns the value of a line of the process status that is in kB.
    fn memory_kb(&self, line_name: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .expect("the process status should be readable");
        status
            .lines()
            .find_map(|line| line.strip_prefix(line_name)?.trim().strip_suffix(" kB"))
            .and_then(|kb| kb.parse().ok())
            .expect("the process status should hold the memory")
    }

    /// Sends a signal to the process. `name` is an option of `kill`, as in `-HUP`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill")
            .args([name, &pid])
            .status()
            .expect("kill should run")
            .success());
    }
}

/// Reads the next response and returns its status; 0 if there is none.
pub fn read_status(stream: &mut TcpStream) -> u16 {
    read_http_message(stream)
        .and_then(|message| message.first_line.split(' ').nth(1)?.parse().ok())
        .unwrap_or(0)
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

//! Scripted peers, for tests that need an exact answer at an exact moment: blocking servers of a few lines that answer as a
//! closure says and log what came, a platform, and the forwarder's process between them. They panic where something that must
//! work does not: that is the failure of the test that uses them. What follows a model, see `sockets`.

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

const MAX_WAIT: Duration = Duration::from_secs(10); // of whoever waits for something that must come

/// One message as it came: first line, headers by name in small letters, body.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    pub first_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one message; nothing at the end of the connection.
pub fn read_http_message(stream: &mut TcpStream) -> Option<HttpMessage> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    let text = String::from_utf8(head).expect("a head is text");
    let mut lines = text.lines();
    let first_line = lines.next()?.to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
        .collect();
    let length = headers
        .get("content-length")
        .map_or(0, |length| length.parse().expect("a length"));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(HttpMessage {
        first_line,
        headers,
        body,
    })
}

/// What came, in order.
pub type RequestLog = Arc<Mutex<Vec<HttpMessage>>>;

/// A server that logs the requests and answers them by a function; where that gives no answer, the request stays open.
pub fn serve(
    respond: impl Fn(&HttpMessage, usize) -> Option<String> + Send + Sync + 'static,
) -> (SocketAddr, RequestLog) {
    serve_on(TcpListener::bind("127.0.0.1:0").expect("a port"), respond)
}

fn serve_on(
    listener: TcpListener,
    respond: impl Fn(&HttpMessage, usize) -> Option<String> + Send + Sync + 'static,
) -> (SocketAddr, RequestLog) {
    let address = listener.local_addr().expect("its address");
    let (log, respond) = (RequestLog::default(), Arc::new(respond));
    let seen = log.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, seen, respond) =
                (stream.expect("a connection"), seen.clone(), respond.clone());
            thread::spawn(move || {
                while let Some(message) = read_http_message(&mut stream) {
                    let request_index = {
                        let mut seen = seen.lock().expect("the log");
                        seen.push(message.clone());
                        seen.len() - 1
                    };
                    match respond(&message, request_index) {
                        Some(text) => stream.write_all(text.as_bytes()).expect("answered"),
                        None => _ = stream.read(&mut [0]), // until the other side gives up
                    }
                }
            });
        }
    });
    (address, log)
}

/// A listener whose backlog is full, so that connections do not come up until it is opened. Those that were tried
/// meanwhile come up as the kernel tries again, a second later.
pub struct FullBacklogListener {
    listener: TcpListener,
    filling_connections: Vec<TcpStream>,
    pub address: SocketAddr,
}

impl FullBacklogListener {
    /// At a free port of that address of this machine.
    pub fn bind(host: &str) -> FullBacklogListener {
        let listener = TcpListener::bind((host, 0)).expect("a port");
        SockRef::from(&listener).listen(0).expect("a short line");
        let address = listener.local_addr().expect("its address");
        let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(50)).ok();
        let filling_connections = std::iter::from_fn(connect).collect();
        FullBacklogListener {
            listener,
            filling_connections,
            address,
        }
    }

    /// Serves from now on, as [`serve`] does.
    pub fn accept_and_serve(
        self,
        respond: impl Fn(&HttpMessage, usize) -> Option<String> + Send + Sync + 'static,
    ) -> (SocketAddr, RequestLog) {
        SockRef::from(&self.listener).listen(16).expect("a line");
        for _ in &self.filling_connections {
            self.listener.accept().expect("one of the line");
        }
        serve_on(self.listener, respond)
    }
}

/// An answer without a body.
pub fn empty_response(status: &str) -> Option<String> {
    Some(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n"))
}

/// 200 with a body.
pub fn ok_response(body: &str) -> Option<String> {
    Some(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// One member of a list, as discovery writes it; it is named by its port.
pub fn member(endpoint: SocketAddr, destination: u32, phase: &str) -> String {
    member_named(
        &format!("s-{}", endpoint.port()),
        endpoint,
        destination,
        phase,
    )
}

/// One member under a name of its own.
pub fn member_named(id: &str, endpoint: SocketAddr, destination: u32, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{endpoint}","locality":"a","flavor":"m","cell":{destination},"phase":"{phase}","size":50.0,"up_since_ms":0}}"#
    )
}

/// A list, or changes to it.
pub fn endpoint_list(revision: u64, complete: bool, members: &[String]) -> String {
    format!(
        r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#,
        members.join(",")
    )
}

/// A platform: its list, the changes for the next watches, and the completion reports that it gets.
pub struct Platform {
    pub address: SocketAddr,
    /// The requests with completion reports.
    pub completion_reports: RequestLog,
    /// The next watches get these, the last one first.
    pub pending_changes: Arc<Mutex<Vec<String>>>,
}

/// `deaf` completion reports are answered with an error first.
pub fn start_platform(members: Vec<String>, refused_reports: usize) -> Platform {
    let pending_changes: Arc<Mutex<Vec<String>>> = Arc::default();
    let completion_reports = RequestLog::default();
    let (changes, reports) = (pending_changes.clone(), completion_reports.clone());
    let (address, _) = serve(move |message, _| {
        if message.first_line.starts_with("POST /v1/outcomes") {
            let mut reports = reports.lock().expect("the reports");
            reports.push(message.clone());
            return empty_response(if reports.len() > refused_reports {
                "204 No Content"
            } else {
                "500 Oops"
            });
        }
        if !message.first_line.contains("index=") {
            return ok_response(&endpoint_list(1, true, &members));
        }
        let started = Instant::now();
        while started.elapsed() < Duration::from_millis(300) {
            if let Some(change) = changes.lock().expect("the changes").pop() {
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

/// A forwarder process; it is killed as this is dropped.
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

/// Start-up configuration with one profile; effects by their names on the wire.
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

/// This configuration with further keys, a JSON text of pairs.
pub fn with_further_keys(config: &str, pairs: &str) -> String {
    config.replacen("\"settings\"", &format!("{pairs},\"settings\""), 1)
}

/// The program with this configuration, not started yet. `SHOW` in the environment shows its log.
pub fn command(
    program: &str,
    state: &Path,
    config: &str,
    listen: &str,
    discovery: SocketAddr,
) -> Command {
    let config_file = state
        .parent()
        .expect("a folder round it")
        .join("config.json");
    std::fs::write(&config_file, config).expect("the configuration is written");
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

/// A folder that lasts as long as the first of these.
pub fn state_folder() -> (TempDir, std::path::PathBuf) {
    let folder = TempDir::new().expect("a folder");
    let state = folder.path().join("state");
    std::fs::create_dir(&state).expect("a folder in it");
    (folder, state)
}

/// An address on which nobody listens, on a loopback host that no other test uses: nobody else
/// can take the port before the program does.
fn unused_address() -> SocketAddr {
    static HOSTS: AtomicU32 = AtomicU32::new(0);
    let host_number = HOSTS.fetch_add(1, Ordering::Relaxed);
    let [_, process_high, process_low, _] = (std::process::id() << 8).to_be_bytes();
    let [.., host_number_low] = host_number.to_be_bytes();
    // Not in 127.0.0.0/16, where scripted peers listen, nor the last address of 127.0.0.0/8.
    let second_octet = 1 + process_high % 128;
    let host = Ipv4Addr::new(127, second_octet, process_low, host_number_low);
    let listener = TcpListener::bind((host, 0)).expect("a port");
    listener.local_addr().expect("its address")
}

/// Starts the program and waits until it is up.
pub fn start(program: &str, state: &Path, config: &str, discovery: SocketAddr) -> Forwarder {
    let listen = unused_address();
    let child = command(program, state, config, &listen.to_string(), discovery)
        .spawn()
        .expect("the program starts");
    let forwarder = Forwarder { child, listen };
    wait_until("it is up", || {
        forwarder.request_status("GET /up HTTP/1.1\r\nHost: x\r\n\r\n", b"") == 200
    });
    forwarder
}

/// Waits until something is so; panics where it does not come.
pub fn wait_until(condition: &str, mut is_met: impl FnMut() -> bool) {
    let started = Instant::now();
    while !is_met() {
        assert!(
            started.elapsed() < MAX_WAIT,
            "waited in vain until {condition}"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

/// The head of a request that submits a message for destination 7.
pub fn submission_head(id: &str, path: &str, length: usize) -> String {
    format!(
        "POST /{path} HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Class: {path}\r\n\
         Request-Timeout-Ms: 20000\r\nIdempotency-Key: k-{id}\r\nEnvelope: dest=7\r\nContent-Length: {length}\r\n\r\n"
    )
}

impl Forwarder {
    /// A new connection to it.
    pub fn connect(&self) -> std::io::Result<TcpStream> {
        let stream = TcpStream::connect(self.listen)?;
        stream.set_read_timeout(Some(MAX_WAIT))?;
        Ok(stream)
    }

    /// The status of one request on a connection of its own; 0 where none came.
    pub fn request_status(&self, head: &str, body: &[u8]) -> u16 {
        let Ok(mut stream) = self.connect() else {
            return 0;
        };
        // A server that has seen enough may close while the rest is written.
        let _ = stream.write_all(&[head.as_bytes(), body].concat());
        read_status(&mut stream)
    }

    /// Submits a message of four bytes and gives the status.
    pub fn submit(&self, id: &str, path: &str) -> u16 {
        self.request_status(&submission_head(id, path, 4), b"body")
    }

    /// What the process holds now: kilobytes of memory, open descriptors.
    pub fn resource_usage(&self) -> (u64, usize) {
        let process_folder = format!("/proc/{}", self.child.id());
        let status =
            std::fs::read_to_string(format!("{process_folder}/status")).expect("its status");
        let memory = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB"));
        let descriptors = std::fs::read_dir(format!("{process_folder}/fd"))
            .expect("its descriptors")
            .count();
        (
            memory.and_then(|kb| kb.parse().ok()).expect("its memory"),
            descriptors,
        )
    }

    /// Sends it a signal, by name, as in `-HUP`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill")
            .args([name, &pid])
            .status()
            .expect("kill runs")
            .success());
    }
}

/// The status of the next answer; 0 where none comes.
pub fn read_status(stream: &mut TcpStream) -> u16 {
    read_http_message(stream)
        .and_then(|message| message.first_line.split(' ').nth(1)?.parse().ok())
        .unwrap_or(0)
}

/// Attempts with this message's id.
pub fn count_calls(log: &RequestLog, id: &str) -> usize {
    let log = log.lock().expect("the log");
    log.iter()
        .filter(|message| {
            message
                .headers
                .get("request-id")
                .is_some_and(|value| value == id)
        })
        .count()
}

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
pub struct Message {
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one message; nothing at the end of the connection.
pub fn read_message(stream: &mut TcpStream) -> Option<Message> {
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
    let first = lines.next()?.to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|l| l.split_once(": "))
        .map(|(n, v)| (n.to_lowercase(), v.to_owned()))
        .collect();
    let length = headers
        .get("content-length")
        .map_or(0, |l| l.parse().expect("a length"));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Message {
        first,
        headers,
        body,
    })
}

/// What came, in order.
pub type Log = Arc<Mutex<Vec<Message>>>;

/// A server that logs the requests and answers them by a function; where that gives no answer, the request stays open.
pub fn serve(
    answer: impl Fn(&Message, usize) -> Option<String> + Send + Sync + 'static,
) -> (SocketAddr, Log) {
    serve_at(TcpListener::bind("127.0.0.1:0").expect("a port"), answer)
}

fn serve_at(
    listener: TcpListener,
    answer: impl Fn(&Message, usize) -> Option<String> + Send + Sync + 'static,
) -> (SocketAddr, Log) {
    let address = listener.local_addr().expect("its address");
    let (log, answer) = (Log::default(), Arc::new(answer));
    let seen = log.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, seen, answer) =
                (stream.expect("a connection"), seen.clone(), answer.clone());
            thread::spawn(move || {
                while let Some(message) = read_message(&mut stream) {
                    let before = {
                        let mut seen = seen.lock().expect("the log");
                        seen.push(message.clone());
                        seen.len() - 1
                    };
                    match answer(&message, before) {
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
pub struct SlowListener {
    listener: TcpListener,
    line: Vec<TcpStream>,
    pub address: SocketAddr,
}

impl SlowListener {
    /// At a free port of that address of this machine.
    pub fn shut(host: &str) -> SlowListener {
        let listener = TcpListener::bind((host, 0)).expect("a port");
        SockRef::from(&listener).listen(0).expect("a short line");
        let address = listener.local_addr().expect("its address");
        let join = || TcpStream::connect_timeout(&address, Duration::from_millis(50)).ok();
        let line = std::iter::from_fn(join).collect();
        SlowListener {
            listener,
            line,
            address,
        }
    }

    /// Serves from now on, as [`serve`] does.
    pub fn open(
        self,
        answer: impl Fn(&Message, usize) -> Option<String> + Send + Sync + 'static,
    ) -> (SocketAddr, Log) {
        SockRef::from(&self.listener).listen(16).expect("a line");
        for _ in &self.line {
            self.listener.accept().expect("one of the line");
        }
        serve_at(self.listener, answer)
    }
}

/// An answer without a body.
pub fn plain(status: &str) -> Option<String> {
    Some(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n"))
}

/// 200 with a body.
pub fn with_body(body: &str) -> Option<String> {
    Some(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// One member of a list, as discovery writes it; it is named by its port.
pub fn member(target: SocketAddr, cell: u32, phase: &str) -> String {
    member_named(&format!("s-{}", target.port()), target, cell, phase)
}

/// One member under a name of its own.
pub fn member_named(id: &str, target: SocketAddr, cell: u32, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{target}","locality":"a","flavor":"m","cell":{cell},"phase":"{phase}","size":50.0,"up_since_ms":0}}"#
    )
}

/// A list, or changes to it.
pub fn list(revision: u64, complete: bool, members: &[String]) -> String {
    format!(
        r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#,
        members.join(",")
    )
}

/// A platform: its list, the changes for the next watches, and the completion reports that it gets.
pub struct Platform {
    pub address: SocketAddr,
    /// The requests with completion reports.
    pub completion_reports: Log,
    /// The next watches get these, the last one first.
    pub changes: Arc<Mutex<Vec<String>>>,
}

/// `deaf` completion reports are answered with an error first.
pub fn platform(members: Vec<String>, refused_reports: usize) -> Platform {
    let changes: Arc<Mutex<Vec<String>>> = Arc::default();
    let completion_reports = Log::default();
    let (pending, reports) = (changes.clone(), completion_reports.clone());
    let (address, _) = serve(move |message, _| {
        if message.first.starts_with("POST /v1/outcomes") {
            let mut reports = reports.lock().expect("the reports");
            reports.push(message.clone());
            return plain(if reports.len() > refused_reports {
                "204 No Content"
            } else {
                "500 Oops"
            });
        }
        if !message.first.contains("index=") {
            return with_body(&list(1, true, &members));
        }
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_millis(300) {
            if let Some(change) = pending.lock().expect("the changes").pop() {
                return with_body(&change);
            }
            thread::sleep(Duration::from_millis(5));
        }
        with_body(&list(1, false, &[]))
    });
    Platform {
        address,
        completion_reports,
        changes,
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
pub fn config(profile: &str, effect: &str, sockets: usize, disk_mb: f64) -> String {
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
    text: &str,
    listen: &str,
    discovery: SocketAddr,
) -> Command {
    let config_file = state
        .parent()
        .expect("a folder round it")
        .join("config.json");
    std::fs::write(&config_file, text).expect("the configuration is written");
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
pub fn folder() -> (TempDir, std::path::PathBuf) {
    let dir = TempDir::new().expect("a folder");
    let state = dir.path().join("state");
    std::fs::create_dir(&state).expect("a folder in it");
    (dir, state)
}

/// An address on which nobody listens, on a loopback host that no other test uses: nobody else
/// can take the port before the program does.
fn unused_address() -> SocketAddr {
    static HOSTS: AtomicU32 = AtomicU32::new(0);
    let number = HOSTS.fetch_add(1, Ordering::Relaxed);
    let [_, process_high, process_low, _] = (std::process::id() << 8).to_be_bytes();
    let [.., number_low] = number.to_be_bytes();
    // Not in 127.0.0.0/16, where scripted peers listen, nor the last address of 127.0.0.0/8.
    let second = 1 + process_high % 128;
    let host = Ipv4Addr::new(127, second, process_low, number_low);
    let listener = TcpListener::bind((host, 0)).expect("a port");
    listener.local_addr().expect("its address")
}

/// Starts the program and waits until it is up.
pub fn start(program: &str, state: &Path, text: &str, discovery: SocketAddr) -> Forwarder {
    let listen = unused_address();
    let child = command(program, state, text, &listen.to_string(), discovery)
        .spawn()
        .expect("the program starts");
    let forwarder = Forwarder { child, listen };
    until("it is up", || {
        forwarder.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n", b"") == 200
    });
    forwarder
}

/// Waits until something is so; panics where it does not come.
pub fn until(what: &str, mut done: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !done() {
        assert!(begun.elapsed() < MAX_WAIT, "waited in vain until {what}");
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
    pub fn ask(&self, head: &str, body: &[u8]) -> u16 {
        let Ok(mut stream) = self.connect() else {
            return 0;
        };
        // A server that has seen enough may close while the rest is written.
        let _ = stream.write_all(&[head.as_bytes(), body].concat());
        status(&mut stream)
    }

    /// Submits a message of four bytes and gives the status.
    pub fn submit(&self, id: &str, path: &str) -> u16 {
        self.ask(&submission_head(id, path, 4), b"body")
    }

    /// What the process holds now: kilobytes of memory, open descriptors.
    pub fn holds(&self) -> (u64, usize) {
        let of = format!("/proc/{}", self.child.id());
        let status = std::fs::read_to_string(format!("{of}/status")).expect("its status");
        let memory = status
            .lines()
            .find_map(|l| l.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB"));
        let open = std::fs::read_dir(format!("{of}/fd"))
            .expect("its descriptors")
            .count();
        (
            memory.and_then(|kb| kb.parse().ok()).expect("its memory"),
            open,
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
pub fn status(stream: &mut TcpStream) -> u16 {
    read_message(stream)
        .and_then(|m| m.first.split(' ').nth(1)?.parse().ok())
        .unwrap_or(0)
}

/// Attempts with this message's id.
pub fn calls(log: &Log, id: &str) -> usize {
    let log = log.lock().expect("the log");
    log.iter()
        .filter(|m| m.headers.get("request-id").is_some_and(|i| i == id))
        .count()
}

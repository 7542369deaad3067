//! A forwarder's process, and a client's requests to it.

use super::http::read_status;
use super::MAX_WAIT;
use socket2::{Domain, Socket, Type};
use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Status of the answer to `GET /up` once clients may submit messages.
const UP_STATUS: u16 = 200;

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
    let (_socket, address) = bind_free_port(host);
    address
}

/// Binds a socket to a free port of a host, and returns it with its address. The socket does not listen: a process that is
/// being started elsewhere holds a copy of it until its program is loaded, and a copy that listened would keep the forwarder
/// from listening at the address.
fn bind_free_port(host: Ipv4Addr) -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket should be created");
    socket
        .set_reuse_address(true)
        .expect("the socket option should be set");
    let any_port = SocketAddr::from((host, 0));
    socket
        .bind(&any_port.into())
        .expect("a port of the host should be free");
    let address = socket
        .local_addr()
        .expect("the socket should have an address");
    let address = address.as_socket().expect("the address should be IPv4");
    (socket, address)
}

/// Starts a forwarder and waits until it is up. Panics if it isn't up within 10 s, with the state of the process, the last
/// status and the log. The log is written beside the folder `state`, unless the environment variable `SHOW` is set.
pub fn start(program: &str, state: &Path, config: &str, discovery: SocketAddr) -> Forwarder {
    let listen = unused_address();
    let log_file = state.with_file_name("forwarder.log");
    let mut command = command(program, state, config, &listen.to_string(), discovery);
    if std::env::var("SHOW").is_err() {
        let log = File::create(&log_file).expect("the log should be created");
        command.stderr(log);
    }
    let child = command.spawn().expect("the forwarder should start");
    let mut forwarder = Forwarder { child, listen };
    let started = Instant::now();
    loop {
        let status = forwarder.request_status("GET /up HTTP/1.1\r\nHost: x\r\n\r\n", b"");
        if status == UP_STATUS {
            return forwarder;
        }
        assert!(
            started.elapsed() < MAX_WAIT,
            "the forwarder at {listen} is not up after {MAX_WAIT:?}: last status {status}, process {:?}, log:\n{}",
            forwarder.child.try_wait(),
            std::fs::read_to_string(&log_file).unwrap_or_default()
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

#[cfg(test)]
mod tests;

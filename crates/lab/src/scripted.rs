//! Scripted peers for tests that need an exact response at an exact moment: blocking servers that log requests and respond as a
//! closure determines, a platform, and the forwarder's process between them. They panic on unexpected errors, which fails the
//! test that uses them. The peers in `sockets` respond according to the receiver model instead.

mod http;
mod platform;
mod process;
mod server;
mod startup_config;

pub use http::{empty_response, ok_response, read_http_message, read_status, HttpMessage};
pub use platform::{endpoint_list, member, member_named, start_platform, Platform};
pub use process::{command, start, submission_head, Forwarder};
pub use server::{count_calls, serve, serve_connections, FullBacklogListener, RequestLog};
pub use startup_config::{startup_config, state_folder, with_further_keys};

use std::thread;
use std::time::{Duration, Instant};

/// Upper bound on the wait for a condition or a response that a test requires.
const MAX_WAIT: Duration = Duration::from_secs(10);

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

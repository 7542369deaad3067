//! A platform: its endpoint list, and the completion reports that it receives.

use super::http::{empty_response, ok_response};
use super::server::{serve, RequestLog};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

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

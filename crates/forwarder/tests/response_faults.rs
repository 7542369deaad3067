//! A seeded soak: the program under a kill, between endpoints and a platform that repeat, delay, cut and withhold responses at
//! random. Judged by what the endpoints and the platform saw alone.
//!
//! The environment variable `SOAK_SEEDS` sets the number of seeds; one by default. Each seed plays each effect of a class.

mod common;

use common::*;
use opalpulley_lab::random::seeded_rng;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const EFFECTS: [&str; 3] = ["free", "guarded", "single_shot"];
const PLAYS_AT_ONCE: usize = 9;

const MESSAGES: usize = 150;
/// Time between two submissions, in ms.
const SUBMISSION_INTERVAL_MS: u64 = 20;
/// Number of messages before the process is killed and started again.
const MESSAGES_BEFORE_KILL: usize = 80;
const TIME_TO_LIVE: Duration = Duration::from_millis(2_500);
/// A message is lost if it has neither been delivered nor reported this long after its time.
const REPORT_GRACE: Duration = Duration::from_millis(300);
/// No report is overdue until this long after a restarted forwarder is ready.
const RESTART_GRACE: Duration = Duration::from_millis(1_500);
/// Time for which an endpoint keeps a connection without a response.
const SILENCE: Duration = Duration::from_millis(800);
const LIST_WATCH_MS: u64 = 300;
/// Time that the platform takes for the response to a report, in ms.
const REPORT_RESPONSE_MS: u64 = 10;
const MAX_REFUSALS_IN_A_ROW: usize = 2;

/// What an endpoint does with a call.
#[derive(Clone, Copy, PartialEq)]
enum Reply {
    Deliver,
    Error,
    Reject,
    /// A status line and nothing more, after the message has run.
    CutRejection,
    /// The message runs; the connection is closed without a response.
    Reset,
    /// The message runs; the response never comes.
    Silence,
}

impl Reply {
    fn draw(rng: &mut impl Rng) -> Reply {
        match rng.random_range(0..20) {
            0..=7 => Reply::Deliver,
            8..=9 => Reply::Error,
            10..=15 => Reply::Reject,
            16 => Reply::CutRejection,
            17..=18 => Reply::Reset,
            _ => Reply::Silence,
        }
    }

    fn runs_message(self) -> bool {
        self != Reply::Reject
    }

    fn response(self) -> &'static str {
        match self {
            Reply::Deliver => "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            Reply::Error => "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
            Reply::Reject => "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
            Reply::CutRejection => "HTTP/1.1 503 Full\r\n",
            Reply::Reset | Reply::Silence => "",
        }
    }
}

/// What the endpoints and the platform saw of one message.
#[derive(Clone, Default)]
struct Observed {
    runs: usize,
    delivered: bool,
    first_report_at: Option<Instant>,
}

type Observations = Arc<Mutex<BTreeMap<String, Observed>>>;

fn observe(observations: &Observations, id: &str, change: impl FnOnce(&mut Observed)) {
    let mut all = observations
        .lock()
        .expect("the observations are not poisoned");
    change(all.entry(id.to_owned()).or_default());
}

/// Writes to a peer that may have closed the connection.
fn write_ignoring_errors(stream: &mut TcpStream, text: &str) {
    let _ = stream.write_all(text.as_bytes());
}

/// Serves the calls of one connection. Each response is repeated at random: behind itself, later, or at the next request.
fn serve_calls(mut stream: TcpStream, seed: u64, observations: &Observations) {
    let mut previous_response = "";
    while let Some(request) = read_http_message(&mut stream) {
        let Some(id) = request.headers.get("request-id").cloned() else {
            write_ignoring_errors(&mut stream, Reply::Deliver.response()); // a health check
            continue;
        };
        let earlier_runs = {
            let mut runs = 0;
            observe(observations, &id, |observed| runs = observed.runs);
            runs as u64
        };
        let mut rng = seeded_rng(seed, &id, earlier_runs);
        if rng.random_bool(0.7) {
            sleep_ms(rng.random_range(0..6));
            write_ignoring_errors(&mut stream, previous_response);
        }
        sleep_ms(rng.random_range(0..60));
        let reply = Reply::draw(&mut rng);
        observe(observations, &id, |observed| {
            observed.runs += usize::from(reply.runs_message());
            observed.delivered |= reply == Reply::Deliver;
        });
        write_ignoring_errors(&mut stream, reply.response());
        match reply {
            Reply::Deliver | Reply::Error | Reply::Reject => {}
            Reply::Silence => return thread::sleep(SILENCE),
            Reply::CutRejection | Reply::Reset => return,
        }
        if rng.random_bool(0.3) {
            sleep_ms(rng.random_range(0..40));
            write_ignoring_errors(&mut stream, reply.response());
        }
        previous_response = reply.response();
    }
}

/// Serves one connection of the platform. A copy of the previous response precedes some of the responses. Some reports are
/// refused, but no three in a row: each costs the forwarder up to 70 ms of the grace for reports.
fn serve_platform(
    mut stream: TcpStream,
    rng: &Mutex<Pcg64Mcg>,
    refusals_in_a_row: &AtomicUsize,
    list: &str,
    observations: &Observations,
) {
    let draw = |probability: f64| {
        let mut rng = rng.lock().expect("the generator is not poisoned");
        rng.random_bool(probability)
    };
    let mut previous_response = String::new();
    while let Some(request) = read_http_message(&mut stream) {
        if draw(0.5) {
            write_ignoring_errors(&mut stream, &previous_response);
        }
        let response = if request.first_line.starts_with("POST /v1/outcomes") {
            sleep_ms(REPORT_RESPONSE_MS);
            let refused =
                refusals_in_a_row.load(Ordering::Relaxed) < MAX_REFUSALS_IN_A_ROW && draw(0.2);
            if refused {
                refusals_in_a_row.fetch_add(1, Ordering::Relaxed);
                empty_response("500 Oops")
            } else {
                refusals_in_a_row.store(0, Ordering::Relaxed);
                record_reports(&String::from_utf8_lossy(&request.body), observations);
                empty_response("204 No Content")
            }
        } else if request.first_line.contains("index=") {
            sleep_ms(LIST_WATCH_MS);
            ok_response(&endpoint_list(1, false, &[]))
        } else {
            ok_response(list)
        };
        previous_response = response.expect("the response is not empty");
        write_ignoring_errors(&mut stream, &previous_response);
    }
}

fn record_reports(body: &str, observations: &Observations) {
    for line in body.lines() {
        let report: serde_json::Value =
            serde_json::from_str(line).expect("a report is a JSON object");
        let id = report["id"].as_str().expect("a report has an id");
        observe(observations, id, |observed| {
            observed.first_report_at.get_or_insert_with(Instant::now);
        });
    }
}

/// Plays one seed with one effect. Returns a line for each message whose rule was broken.
fn play(seed: u64, effect: &str) -> Vec<String> {
    let observations = Observations::default();
    let members: Vec<String> = (0..3)
        .map(|_| {
            let seen = observations.clone();
            member(
                serve_connections(move |stream| serve_calls(stream, seed, &seen)),
                7,
                "Ready",
            )
        })
        .collect();
    let list = endpoint_list(1, true, &members);
    let seen = observations.clone();
    let rng = Mutex::new(seeded_rng(seed, "platform", 0));
    let refusals_in_a_row = AtomicUsize::new(0);
    let platform = serve_connections(move |stream| {
        serve_platform(stream, &rng, &refusals_in_a_row, &list, &seen);
    });
    let (_folder, state) = state_folder();
    let config = startup_config("notice", effect, 200, 3.0);
    let mut forwarder = start(&state, &config, platform);
    let mut accepted = Vec::new();
    let mut restarted_at = Instant::now();
    for index in 0..MESSAGES {
        if index == MESSAGES_BEFORE_KILL {
            kill_and_wait(&mut forwarder);
            forwarder = start(&state, &config, platform);
            restarted_at = Instant::now();
        }
        let id = format!("{effect}-{index}");
        let time_to_live_ms = TIME_TO_LIVE.as_millis().to_string();
        let head = submission_head(&id, "notice", 4).replace("20000", &time_to_live_ms);
        let submitted_at = Instant::now();
        if forwarder.request_status(&head, b"body") == 202 {
            accepted.push((id, submitted_at));
        }
        sleep_ms(SUBMISSION_INTERVAL_MS);
    }
    thread::sleep(TIME_TO_LIVE + REPORT_GRACE);
    assert!(
        accepted.len() > MESSAGES / 2,
        "seed {seed}, {effect}: only {} messages were accepted",
        accepted.len()
    );
    let observations = observations
        .lock()
        .expect("the observations are not poisoned");
    let judged = accepted.iter().filter_map(|(id, submitted_at)| {
        let observed = observations.get(id).cloned().unwrap_or_default();
        let due_at =
            (*submitted_at + TIME_TO_LIVE + REPORT_GRACE).max(restarted_at + RESTART_GRACE);
        let problem = broken_rule(&observed, due_at, effect)?;
        let reported_late_by = observed.first_report_at.map(|at| at.duration_since(due_at));
        Some(format!(
            "seed {seed}, message {id}: {problem}; runs: {}, reported late by: {reported_late_by:?}\n{}",
            observed.runs,
            log_lines(&state, id)
        ))
    });
    judged.collect()
}

/// Returns the lines about a message, and about failed reports, in the log of the forwarder, which begins with its latest
/// start.
fn log_lines(state: &Path, id: &str) -> String {
    let log = std::fs::read_to_string(state.with_file_name("forwarder.log")).unwrap_or_default();
    let name = format!("message: {id}");
    let lines: Vec<&str> = log
        .lines()
        .filter(|line| {
            line.contains("completion reports")
                || line.split(", ").any(|field| field.ends_with(&name))
        })
        .collect();
    lines.join("\n")
}

fn broken_rule(observed: &Observed, due_at: Instant, effect: &str) -> Option<&'static str> {
    let reported_in_time = observed.first_report_at.is_some_and(|at| at <= due_at);
    if !observed.delivered && !reported_in_time {
        return Some("neither delivered nor reported in its time");
    }
    if effect == "single_shot" && observed.runs > 1 {
        return Some("may not be repeated, and ran more than once");
    }
    None
}

/// Guards against messages that are lost, or run twice, because a response was taken for the response to another request, or
/// for a proof that it is not.
#[test]
fn loses_and_repeats_no_message_under_faulty_responses() {
    let seed_count: u64 = std::env::var("SOAK_SEEDS").map_or(1, |seeds| {
        seeds.parse().expect("SOAK_SEEDS should be a number")
    });
    let plays: Vec<(u64, &str)> = (1..=seed_count)
        .flat_map(|seed| EFFECTS.map(|effect| (seed, effect)))
        .collect();
    let mut problems = Vec::new();
    for plays in plays.chunks(PLAYS_AT_ONCE) {
        thread::scope(|scope| {
            let running: Vec<_> = plays
                .iter()
                .map(|(seed, effect)| scope.spawn(|| play(*seed, effect)))
                .collect();
            for play in running {
                problems.extend(play.join().expect("the play ends"));
            }
        });
    }
    assert!(problems.is_empty(), "{}", problems.join("\n"));
}

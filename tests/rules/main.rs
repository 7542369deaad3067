//! Tests of the service rules one by one, on a single forwarder.

#[path = "../common/mod.rs"]
mod common;

mod admission;
mod attempt_timeout;
mod concurrency;
mod ordering;
mod outliers;
mod pacing;
mod repeats;
mod restart;
mod retries;
mod retry_after;
mod selection;
mod steady_state;
mod support;

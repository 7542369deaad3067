//! Writes the core's log events, with their values as fields.

use crate::protocol::address;
use opalpulley::LogEvent;
use slog::{info, warn, Logger};

/// Writes one log line for one event.
pub fn write(log: &Logger, event: &LogEvent) {
    match event {
        LogEvent::EndpointEjected {
            destination,
            endpoint,
            reason,
        } => info!(log, "endpoint ejected";
            "destination" => destination.0,
            "endpoint" => %address(*endpoint),
            "reason" => %reason),
        LogEvent::EndpointReadmitted {
            destination,
            endpoint,
        } => info!(log, "endpoint readmitted";
            "destination" => destination.0,
            "endpoint" => %address(*endpoint)),
        LogEvent::GossipIgnored { peer, problem } => {
            warn!(log, "gossip message ignored: its payload is invalid";
            "forwarder" => peer,
            "problem" => problem)
        }
    }
}

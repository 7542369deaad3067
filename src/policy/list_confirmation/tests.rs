//! Tests of whether a cached list is withheld.

use super::*;
use crate::model::{DestinationId, EndpointId, EndpointKindId, ZoneId};

fn polled(fleet_size: u32) -> Config {
    Config {
        fleet_size,
        list_poll_interval: Some(10_000_000),
        list_notification_delay: Some(6_000_000),
        ..Config::default()
    }
}

#[test]
fn withholds_cached_list_if_discovery_is_asked_within_the_timeout() {
    let pushed = Config {
        fleet_size: 300,
        ..Config::default()
    };
    assert!(must_be_confirmed(&pushed));
    assert!(must_be_confirmed(&polled(1)));
    assert!(must_be_confirmed(&polled(20)));
}

/// Guards against restarts in a large polled fleet that each stop deliveries for the whole timeout.
#[test]
fn uses_cached_list_at_once_if_the_first_polls_are_spread_over_seconds() {
    assert!(!must_be_confirmed(&polled(100)));
    assert!(!must_be_confirmed(&polled(300)));
}

#[test]
fn suspended_entries_are_draining_unless_they_left_the_list() {
    let suspended_status = |status| {
        let entry = EndpointEntry {
            endpoint: EndpointId {
                address: [10, 0, 0, 1],
                port: 80,
                incarnation: 2,
            },
            zone: ZoneId(1),
            up_since: 5,
            status,
            rate: 20.0,
            destination: DestinationId(7),
            kind: EndpointKindId(0),
        };
        let suspended = suspended_entry(entry.clone());
        let suspended_status = suspended.status;
        let restored = EndpointEntry {
            status,
            ..suspended
        };
        assert_eq!(restored, entry, "only the status changes");
        suspended_status
    };
    assert_eq!(
        suspended_status(EndpointStatus::Ready),
        EndpointStatus::Draining
    );
    assert_eq!(
        suspended_status(EndpointStatus::Draining),
        EndpointStatus::Draining
    );
    assert_eq!(
        suspended_status(EndpointStatus::Removed),
        EndpointStatus::Removed
    );
}

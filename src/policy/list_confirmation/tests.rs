//! Tests of the entries of a list that is no longer confirmed.

use super::*;
use crate::model::{DestinationId, EndpointId, EndpointKindId, ZoneId};

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

//! Endpoint lists with more destinations than are held in full.

use super::common::*;
use super::config_in_fleet;
use opalpulley::*;

/// Number of list entries, each of which is the only endpoint of its destination.
const ENTRY_COUNT: u32 = 100_000;

/// Number of destinations that are held in full before idle ones are summarised.
const MAX_HELD_IN_FULL: usize = 1_024;

/// Number of destinations that may be held in full beyond the setting, because one chunk of a list
/// may restore or create them before they are summarised.
const MAX_EXCESS_IN_FULL: usize = 2 * 64;

fn forwarder() -> Forwarder {
    Forwarder::new(config_in_fleet(Some(MAX_HELD_IN_FULL as u32)), 1)
}

fn list(count: u32, status: EndpointStatus) -> Vec<EndpointEntry> {
    let entry = |number: u32| {
        let [_, a, b, c] = number.to_be_bytes();
        let endpoint = EndpointId {
            address: [10, a, b, c],
            port: 80,
            incarnation: 0,
        };
        EndpointEntry {
            endpoint,
            status,
            ..listed_endpoint(0, number, 20.0)
        }
    };
    (0..count).map(entry).collect()
}

/// Handles an event and checks that the number of destinations held in full has never exceeded its
/// bound.
fn handle(forwarder: &mut Forwarder, now: Micros, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    forwarder.handle(now, event, &mut actions);
    let counts = forwarder.state_counts();
    assert!(
        counts.most_full <= MAX_HELD_IN_FULL + MAX_EXCESS_IN_FULL,
        "{counts:?}"
    );
    actions
}

fn report_complete(forwarder: &mut Forwarder, now: Micros, entries: Vec<EndpointEntry>) {
    let update = EndpointListUpdate::Complete(entries);
    handle(forwarder, now, Event::EndpointListUpdated(update));
}

fn report_changes(forwarder: &mut Forwarder, now: Micros, entries: Vec<EndpointEntry>) {
    let update = EndpointListUpdate::Changes(entries);
    handle(forwarder, now, Event::EndpointListUpdated(update));
}

/// Submits a message and, if an attempt starts at once, delivers it.
fn deliver(forwarder: &mut Forwarder, now: Micros, id: MessageId, destination: u32) {
    let submission = submission(id, IDEMPOTENT, destination, TIME_TO_LIVE);
    for action in handle(forwarder, now, Event::MessageSubmitted(submission)) {
        if let Action::StartAttempt { id, endpoint, .. } = action {
            let delivered = Event::AttemptEnded {
                id,
                attempt_index: 0,
                endpoint,
                outcome: Outcome::Delivered,
                elapsed: MS,
                message_completed: true,
                load_metrics: Vec::new(),
            };
            handle(forwarder, now, delivered);
        }
    }
}

/// The destination numbers exceed 65,536.
#[test]
fn bounds_destinations_in_full_and_discards_all_state_of_100_000_entries() {
    let mut forwarder = forwarder();
    for now in [0, 1_000 * MS] {
        report_complete(
            &mut forwarder,
            now,
            list(ENTRY_COUNT, EndpointStatus::Ready),
        );
    }
    let counts = forwarder.state_counts();
    assert_eq!(
        (counts.full, counts.full + counts.summaries),
        (MAX_HELD_IN_FULL, ENTRY_COUNT as usize),
        "{counts:?}"
    );
    for number in 0..50 {
        let id = MessageId(number);
        deliver(&mut forwarder, 2_000 * MS, id, 70_000 + number);
    }
    assert_eq!(forwarder.state_counts().restored, counts.restored + 50);

    report_complete(&mut forwarder, 20_000 * MS, Vec::new());
    for tick in 0..120 {
        let now = (40_000 + tick * 100) * MS;
        let token = TimerToken(0);
        handle(&mut forwarder, now, Event::TimerFired { token });
        report_changes(&mut forwarder, now, Vec::new());
    }
    let counts = forwarder.state_counts();
    let remaining = [
        counts.full,
        counts.summaries,
        counts.bounds,
        counts.gone,
        counts.queued,
    ];
    assert_eq!(remaining, [0; 5], "{counts:?}");
}

/// Removes and returns every second entry several times, and checks that each change restores no
/// more destinations than it names.
fn flap_half_of_list(forwarder: &mut Forwarder) {
    const ROUND_COUNT: u64 = 4;
    let restored_before = forwarder.state_counts().restored;
    for round in 1..=ROUND_COUNT {
        let is_removal = round % 2 == 1;
        let status = if is_removal {
            EndpointStatus::Removed
        } else {
            EndpointStatus::Ready
        };
        let half = list(ENTRY_COUNT, status).into_iter().step_by(2).collect();
        report_changes(forwarder, round * 1_000 * MS, half);
        let counts = forwarder.state_counts();
        let min_gone = if is_removal {
            ENTRY_COUNT as usize / 2 - MAX_HELD_IN_FULL
        } else {
            0
        };
        let max_gone = min_gone + MAX_HELD_IN_FULL;
        assert!((min_gone..=max_gone).contains(&counts.gone), "{counts:?}");
    }
    let counts = forwarder.state_counts();
    let restored = counts.restored - restored_before;
    assert!(
        restored <= ROUND_COUNT * u64::from(ENTRY_COUNT) / 2,
        "{counts:?}"
    );
}

#[test]
fn restores_no_more_destinations_than_list_changes_name() {
    let mut forwarder = forwarder();
    report_complete(&mut forwarder, 0, list(ENTRY_COUNT, EndpointStatus::Ready));
    flap_half_of_list(&mut forwarder);
    let counts = forwarder.state_counts();
    assert!(
        counts.summaries <= ENTRY_COUNT as usize && counts.bounds <= ENTRY_COUNT as usize,
        "{counts:?}"
    );
    let last_entry = list(ENTRY_COUNT, EndpointStatus::Draining).pop();
    let change = last_entry.into_iter().collect();
    report_changes(&mut forwarder, 9_000 * MS, change);
    assert!(forwarder.state_counts().restored <= counts.restored + 1);
}

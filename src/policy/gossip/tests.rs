use super::message::{decode, encode, GossipError};
use super::*;
use quickcheck::{Gen, QuickCheck};

const MS: Micros = 1_000;

/// The receiver knows the destinations with the numbers below this count.
const KNOWN_DESTINATION_COUNT: u32 = 1_000;

/// The number of the forwarder that sends all received messages.
const PEER: u16 = 4;

fn config(fleet_size: u32, may_gossip: bool) -> Config {
    Config {
        fleet_size,
        may_gossip,
        ..Config::default()
    }
}

/// The result of receiving a gossip message.
#[derive(Debug, PartialEq)]
struct Received {
    destination: Option<DestinationId>,
    logged: bool,
}

const IGNORED: Received = Received {
    destination: None,
    logged: false,
};

const IGNORED_WITH_LOG_LINE: Received = Received {
    destination: None,
    logged: true,
};

/// Receives a message, and asserts that the actions contain at most one log line about it.
fn receive(gossip: &mut Gossip, now: Micros, payload: &[u8]) -> Received {
    let mut actions = Vec::new();
    let is_known = |destination: DestinationId| destination.0 < KNOWN_DESTINATION_COUNT;
    let destination = gossip.receive(now, PEER, payload, is_known, &mut actions);
    let logged = matches!(
        &actions[..],
        [Action::Log(LogEvent::GossipIgnored { peer: PEER, .. })]
    );
    assert!(logged || actions.is_empty());
    Received {
        destination,
        logged,
    }
}

#[test]
fn announces_destination_once_per_second_in_fleet() {
    let config = config(3, true);
    let (mut sender, mut receiver) = (Gossip::default(), Gossip::default());
    let destination = DestinationId(700);
    let announcement = sender.announce_rejection(0, destination, &config);
    let Some(Action::SendGossip {
        peer: None,
        payload,
    }) = announcement
    else {
        panic!("expected an announcement to all peers, got {announcement:?}")
    };
    assert!(sender
        .announce_rejection(999 * MS, destination, &config)
        .is_none());

    let accepted = Received {
        destination: Some(destination),
        logged: false,
    };
    assert_eq!(receive(&mut receiver, 10 * MS, &payload), accepted);
    assert_eq!(
        receive(&mut receiver, 20 * MS, &payload),
        IGNORED,
        "a duplicate must be ignored"
    );
    assert!(
        receiver
            .announce_rejection(500 * MS, destination, &config)
            .is_none(),
        "a destination that a peer announced must not be announced again"
    );
    assert!(receiver
        .announce_rejection(500 * MS, DestinationId(1), &config)
        .is_some());
    assert!(receiver
        .announce_rejection(1_100 * MS, destination, &config)
        .is_some());
}

#[test]
fn announces_nothing_without_peers_or_with_gossip_off() {
    let destination = DestinationId(700);
    for config in [config(1, true), config(3, false)] {
        let announcement = Gossip::default().announce_rejection(0, destination, &config);
        assert!(announcement.is_none());
    }
}

#[test]
fn ignores_and_logs_unreadable_message() {
    for (payload, error) in [
        (vec![], GossipError::Length(0)),
        (vec![1; 256], GossipError::Length(256)),
        (vec![2, 1, 0, 0], GossipError::Version(2)),
        (vec![1, 9, 0, 0], GossipError::Subject(9)),
        (vec![1, 9, 0, 0, 0, 0], GossipError::Subject(9)),
        (vec![2, 2, 0, 0, 0, 0], GossipError::Version(2)),
        (vec![1], GossipError::Length(1)),
        (vec![1, 1], GossipError::Length(2)),
        (vec![1, 1, 0], GossipError::Length(3)),
        (vec![1, 1, 0, 0, 1, 0], GossipError::Length(6)),
        (vec![1, 2, 0, 0], GossipError::Length(4)),
        (vec![1, 2, 0, 0, 1], GossipError::Length(5)),
        (vec![1, 2, 0, 0, 1, 0, 0], GossipError::Length(7)),
    ] {
        assert_eq!(decode(&payload), Err(error));
        let received = receive(&mut Gossip::default(), 0, &payload);
        assert_eq!(received, IGNORED_WITH_LOG_LINE);
    }
}

#[test]
fn logs_unreadable_messages_once_per_minute() {
    let mut gossip = Gossip::default();
    let mut logged_lines = 0;
    for tenth in 0..600 {
        let received = receive(&mut gossip, tenth * 100 * MS, &[]);
        logged_lines += usize::from(received.logged);
    }
    assert_eq!(logged_lines, 1);
    assert!(receive(&mut gossip, 60_000 * MS, &[]).logged);
}

/// Forwarders of earlier versions decode messages of four bytes and ignore those of six bytes.
#[test]
fn encodes_16_bit_numbers_in_four_bytes_and_larger_ones_in_six() {
    for (number, payload) in [
        (0, vec![1, 1, 0, 0]),
        (700, vec![1, 1, 0xbc, 2]),
        (65_535, vec![1, 1, 0xff, 0xff]),
        (65_536, vec![1, 2, 0, 0, 1, 0]),
        (70_000, vec![1, 2, 0x70, 0x11, 1, 0]),
        (u32::MAX, vec![1, 2, 0xff, 0xff, 0xff, 0xff]),
    ] {
        assert_eq!(encode(DestinationId(number)), payload);
        assert_eq!(decode(&payload), Ok(DestinationId(number)));
    }
    assert_eq!(decode(&[1, 2, 7, 0, 0, 0]), Ok(DestinationId(7)));
}

/// For any input, nothing panics, only known destinations are reported, and the table holds no more
/// than the announcements of one second.
#[test]
fn keeps_announcement_table_small_for_any_message_sequence() {
    fn property(messages: Vec<(u8, u32, Vec<u8>)>) -> bool {
        let mut gossip = Gossip::default();
        let mut now = 0;
        messages.into_iter().all(|(gap, random, payload)| {
            now += Micros::from(gap) * MS + ANNOUNCEMENT_INTERVAL / 8;
            // The shift makes small numbers likely too.
            let destination = DestinationId(random >> (random % 32));
            let received = receive(&mut gossip, now, &encode(destination));
            receive(&mut gossip, now, &payload);
            let is_report_correct = match received.destination {
                Some(reported) => reported == destination && reported.0 < KNOWN_DESTINATION_COUNT,
                None => true,
            };
            !received.logged && is_report_correct && gossip.announced_at.len() <= 16
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1_200, 20_261_201))
        .quickcheck(property as fn(Vec<(u8, u32, Vec<u8>)>) -> bool);
}

use super::message::{decode, encode, GossipError};
use super::*;
use crate::policy::list_polling::tests::config;
use quickcheck::{Gen, QuickCheck};

const MS: Micros = 1_000;

fn gossiping(forwarders: u32) -> Config {
    Config {
        may_gossip: true,
        ..config(forwarders)
    }
}

/// What it makes of a message, and whether it logs a line.
fn hear(gossip: &mut Gossip, now: Micros, message: &[u8]) -> (Option<DestinationId>, bool) {
    let mut actions = Vec::new();
    let at = gossip.receive(now, 4, message, |d| d.0 < 1_000, &mut actions);
    let logged = matches!(
        &actions[..],
        [Action::Log(LogEvent::UnreadableGossip { peer: 4, .. })]
    );
    assert!(logged || actions.is_empty());
    (at, logged)
}

/// A refusal is told once a second by the whole fleet, and never where nobody may tell or nobody listens.
#[test]
fn what_went_round_is_not_told_again_for_a_second() {
    let (mut one, mut other) = (Gossip::default(), Gossip::default());
    let at = DestinationId(700);
    let Some(Action::SendGossip {
        peer: None,
        payload: message,
    }) = one.announce_rejection(0, at, &gossiping(3))
    else {
        panic!("not told")
    };
    assert!(one
        .announce_rejection(999 * MS, at, &gossiping(3))
        .is_none());
    assert_eq!(hear(&mut other, 10 * MS, &message), (Some(at), false));
    assert_eq!(
        hear(&mut other, 20 * MS, &message),
        (None, false),
        "a message that comes twice"
    );
    assert!(
        other
            .announce_rejection(500 * MS, at, &gossiping(3))
            .is_none(),
        "all know"
    );
    assert!(other
        .announce_rejection(500 * MS, DestinationId(1), &gossiping(3))
        .is_some());
    assert!(other
        .announce_rejection(1_100 * MS, at, &gossiping(3))
        .is_some());
    assert!(Gossip::default()
        .announce_rejection(0, at, &gossiping(1))
        .is_none());
    assert!(Gossip::default()
        .announce_rejection(0, at, &config(3))
        .is_none());
}

#[test]
fn messages_that_cannot_be_used_are_passed_over_with_one_line_a_minute() {
    for (bad, why) in [
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
        assert_eq!(decode(&bad), Err(why));
        assert_eq!(hear(&mut Gossip::default(), 0, &bad), (None, true));
    }
    let mut gossip = Gossip::default();
    let lines = (0..600)
        .filter(|s| hear(&mut gossip, s * 100 * MS, &[]).1)
        .count();
    assert_eq!(lines, 1);
    assert!(hear(&mut gossip, 60_000 * MS, &[]).1);
}

/// Forwarders of earlier versions read the numbers that they have, and pass over the others.
#[test]
fn numbers_of_16_bits_are_told_in_four_bytes_and_larger_ones_in_six() {
    for (number, bytes) in [
        (0, vec![1, 1, 0, 0]),
        (700, vec![1, 1, 0xbc, 2]),
        (65_535, vec![1, 1, 0xff, 0xff]),
        (65_536, vec![1, 2, 0, 0, 1, 0]),
        (70_000, vec![1, 2, 0x70, 0x11, 1, 0]),
        (u32::MAX, vec![1, 2, 0xff, 0xff, 0xff, 0xff]),
    ] {
        assert_eq!(encode(DestinationId(number)), bytes);
        assert_eq!(decode(&bytes), Ok(DestinationId(number)));
    }
    assert_eq!(decode(&[1, 2, 7, 0, 0, 0]), Ok(DestinationId(7)));
}

/// Whatever comes: no panic, only destinations of the list, and a table no longer than what a second brings.
#[test]
fn any_bytes_leave_a_small_table() {
    fn holds(messages: Vec<(u8, u32, Vec<u8>)>) -> bool {
        let mut gossip = Gossip::default();
        let mut now = 0;
        messages.into_iter().all(|(gap, at, bytes)| {
            now += Micros::from(gap) * MS + ANNOUNCEMENT_INTERVAL / 8;
            let at = at >> (at % 32); // small numbers too
            let (heard, logged) = hear(&mut gossip, now, &encode(DestinationId(at)));
            hear(&mut gossip, now, &bytes);
            !logged
                && heard.is_none_or(|d| d.0 == at && at < 1_000)
                && gossip.announced_at.len() <= 16
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1_200, 20_261_201))
        .quickcheck(holds as fn(Vec<(u8, u32, Vec<u8>)>) -> bool);
}
